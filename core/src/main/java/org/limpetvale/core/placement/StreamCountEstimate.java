package org.limpetvale.core.placement;

/**
 * The number of streams with short gap targets in the fleet, smoothed over time.
 *
 * <p>The load that it answers: a burst of such streams needs its engines at once, while a short
 * pause must not give them back. The smoothing is by time and not by requests, so that the entries
 * of a large fleet, each of which sees few requests, follow a burst as fast as those of a small
 * one.
 */
public final class StreamCountEstimate {
  private static final double RISE_MILLIS = 300;
  private static final double FALL_MILLIS = 3_000;

  private double streams;
  private long atMillis;

  private StreamCountEstimate() {}

  /** Returns an estimate of no streams. */
  public static StreamCountEstimate empty() {
    return new StreamCountEstimate();
  }

  /**
   * Notes a count and returns the estimate.
   *
   * @param count streams now
   * @param nowMillis monotonic time in milliseconds
   */
  public double update(int count, long nowMillis) {
    double constant = count > streams ? RISE_MILLIS : FALL_MILLIS;
    double weight = 1 - Math.exp(-Math.max(0, nowMillis - atMillis) / constant);
    streams += weight * (count - streams);
    atMillis = nowMillis;
    return streams;
  }
}
