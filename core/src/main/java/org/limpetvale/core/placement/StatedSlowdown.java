package org.limpetvale.core.placement;

/**
 * What an upstream has stated about momentary slowness of its machine, and what to expect of it.
 *
 * <p>A machine that others share is slow for moments. A statement holds for a fraction of a second;
 * after that, the share of the time in which the machine was slow tells more. A factor of 1 is the
 * usual time that work takes on that machine, so that this says nothing about the machine's own
 * speed.
 *
 * @param statements number of statements that the mean is taken over; 0 if there are none
 * @param meanFactor mean of the stated factors; old ones weigh less
 * @param lastFactor the last stated factor
 * @param lastAtMillis monotonic time of the last statement
 */
public record StatedSlowdown(
    int statements, double meanFactor, double lastFactor, long lastAtMillis) {
  /** No statements, and thus the usual time. */
  public static final StatedSlowdown NONE = new StatedSlowdown(0, 1, 1, 0);

  /** Number of statements after which the weight of an old one has fallen to about a third. */
  private static final int MAX_STATEMENTS = 60;

  private static final int MIN_STATEMENTS = 5;

  /** Time after which a statement tells half as much about the present moment. */
  private static final double HALF_LIFE_MILLIS = 100;

  /** A statement above this multiple of the mean tells of a moment of slowness. */
  private static final double MOMENT_FACTOR = 1.2;

  public StatedSlowdown {
    if (!(meanFactor > 0) || !(lastFactor > 0)) {
      throw new IllegalArgumentException("a factor is not positive");
    }
  }

  /**
   * Returns this with a further statement.
   *
   * @param factor stated factor by which work takes longer than usual; positive
   * @param nowMillis monotonic time
   */
  public StatedSlowdown withStatement(double factor, long nowMillis) {
    int count = Math.min(MAX_STATEMENTS, statements + 1);
    double mean = statements == 0 ? factor : meanFactor + (factor - meanFactor) / count;
    return new StatedSlowdown(count, mean, factor, nowMillis);
  }

  /** Returns the factor by which work that is sent now is expected to take longer than usual. */
  public double expectedFactor(long nowMillis) {
    return meanFactor + (lastFactor - meanFactor) * weightOfLast(nowMillis);
  }

  /**
   * Returns whether the upstream is in a moment of slowness, in which its times tell nothing about
   * its own speed.
   */
  public boolean isSlowMoment(long nowMillis) {
    return statements > 0 && expectedFactor(nowMillis) > MOMENT_FACTOR * meanFactor;
  }

  /** Returns whether there are enough statements for the mean to tell the machine's speed. */
  public boolean isKnown() {
    return statements >= MIN_STATEMENTS;
  }

  private double weightOfLast(long nowMillis) {
    return Math.pow(0.5, Math.max(0, nowMillis - lastAtMillis) / HALF_LIFE_MILLIS);
  }
}
