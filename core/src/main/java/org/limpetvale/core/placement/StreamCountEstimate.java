package org.limpetvale.core.placement;

/**
 * Smoothed number of streams with short gap targets in the fleet.
 *
 * <p>The estimate rises quickly, because a burst needs engines at once, and falls slowly, so that a
 * short pause does not release them. Smoothing depends on elapsed time and not on the number of
 * updates: in a large fleet, where each entry handles few requests, it follows a burst as fast as
 * in a small one.
 */
public final class StreamCountEstimate {
  private static final double RISE_TIME_CONSTANT_MILLIS = 300;
  private static final double FALL_TIME_CONSTANT_MILLIS = 3_000;

  private double streams;
  private long updatedAtMillis;

  private StreamCountEstimate() {}

  /** Returns an estimate of zero streams. */
  public static StreamCountEstimate empty() {
    return new StreamCountEstimate();
  }

  /**
   * Updates the estimate with the current count and returns it.
   *
   * @param count current number of streams
   * @param nowMillis monotonic time in milliseconds
   */
  public double update(int count, long nowMillis) {
    double timeConstantMillis =
        count > streams ? RISE_TIME_CONSTANT_MILLIS : FALL_TIME_CONSTANT_MILLIS;
    double weight = 1 - Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / timeConstantMillis);
    streams += weight * (count - streams);
    updatedAtMillis = nowMillis;
    return streams;
  }
}
