package org.limpetvale.core.placement;

/**
 * The lasting speed of an upstream's machine, learned from how much longer than usual its answers
 * say that work takes there.
 *
 * <p>What they say changes many times a second on a machine that others share, so that a single
 * answer tells nothing of the next request. Their median leaves out moments of slowness and
 * converges to the speed of the machine itself.
 *
 * <p>Not thread-safe.
 */
public final class StatedSpeed {
  /** Number of answers after which the weight of an old one has fallen to about a third. */
  private static final double DECAY_SAMPLES = 40;

  /** Effective number of answers, each with its decayed weight, from which the speed is known. */
  private static final double MIN_SAMPLES = 2.5;

  private static final double MEDIAN = 0.5;

  /** Within this factor of the usual speed, the difference is a matter of rounding. */
  private static final double USUAL_FACTOR = 1.1;

  private static final double MIN_SPEED = 0.1;
  private static final double MAX_SPEED = 4;

  private final DecayingHistogram slowdowns = DecayingHistogram.withDecaySamples(DECAY_SAMPLES);
  private long lastAnswerMillis = Long.MIN_VALUE;

  private StatedSpeed() {}

  /** Returns an instance without answers. */
  public static StatedSpeed empty() {
    return new StatedSpeed();
  }

  /**
   * Records what an answer states.
   *
   * @param slowdown factor by which work takes longer than usual at this moment; above 0
   * @param nowMillis monotonic time
   */
  public void recordSlowdown(double slowdown, long nowMillis) {
    slowdowns.add(slowdown);
    lastAnswerMillis = nowMillis;
  }

  /** Returns the speed relative to the usual one, which is 1; 0 if no answer has stated it. */
  public double relativeSpeed() {
    double median = slowdowns.quantile(MEDIAN);
    if (median <= 0) {
      return 0;
    }
    double speed = Math.clamp(1 / median, MIN_SPEED, MAX_SPEED);
    return speed < USUAL_FACTOR && speed > 1 / USUAL_FACTOR ? 1 : speed;
  }

  /** Returns whether enough answers have stated it to leave out a moment of slowness. */
  public boolean isKnown() {
    return slowdowns.effectiveSamples() >= MIN_SAMPLES;
  }

  /** Returns whether an answer has stated it since a monotonic time. */
  public boolean isStatedSince(long millis) {
    return lastAnswerMillis >= millis;
  }
}
