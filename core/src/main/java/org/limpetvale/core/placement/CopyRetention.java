package org.limpetvale.core.placement;

/**
 * Learns how likely an engine still holds a prompt part, from the answers of requests that counted
 * on one.
 *
 * <p>Engines drop the least recently used parts first, so what decides is how much was written to
 * the engine since the part was last used, measured in turnovers: one turnover is as many tokens as
 * its memory holds. How many turnovers a part survives depends on how much of the memory running
 * requests take, which no upstream states. Before anything is learned, the chance falls from one to
 * nearly zero around one turnover.
 *
 * <p>Not thread-safe.
 */
public final class CopyRetention {
  /** Upper ends of the ranges in which answers are counted; the last range is open. */
  private static final double[] RANGE_ENDS = {0.1, 0.2, 0.35, 0.5, 0.7, 0.9, 1.2, 2};

  /** Middle of the last range. */
  private static final double LAST_RANGE_TURNOVERS = 3;

  /** Weight of the assumption without answers, in answers. */
  private static final double PRIOR_ANSWERS = 4;

  /** Turnovers at which the assumed chance begins to fall below one, and the least chance. */
  private static final double PRIOR_FALL_TURNOVERS = 0.25;

  private static final double MIN_CHANCE = 0.02;

  /** Weight that earlier answers of a range keep with each further one. */
  private static final double KEPT_WEIGHT = 0.97;

  private final double[] held = new double[RANGE_ENDS.length + 1];
  private final double[] asked = new double[RANGE_ENDS.length + 1];

  private CopyRetention() {}

  /** Returns an instance without answers. */
  public static CopyRetention empty() {
    return new CopyRetention();
  }

  /**
   * Records whether an engine held a part that it was expected to hold.
   *
   * @param turnovers turnovers of the engine's memory since the part was last used
   */
  public void recordAnswer(double turnovers, boolean wasHeld) {
    int range = range(turnovers);
    held[range] = held[range] * KEPT_WEIGHT + (wasHeld ? 1 : 0);
    asked[range] = asked[range] * KEPT_WEIGHT + 1;
  }

  /**
   * Returns the chance that an engine holds a part, which never rises with the turnovers.
   *
   * @param turnovers turnovers of the engine's memory since the part was last used
   */
  public double chance(double turnovers) {
    int last = range(turnovers);
    double chance = 1;
    for (int range = 0; range <= last; range++) {
      chance = Math.min(chance, chanceIn(range));
    }
    return chance;
  }

  private double chanceIn(int range) {
    double assumed = Math.clamp(1 + PRIOR_FALL_TURNOVERS - middle(range), MIN_CHANCE, 1);
    double chance = (held[range] + PRIOR_ANSWERS * assumed) / (asked[range] + PRIOR_ANSWERS);
    return Math.max(MIN_CHANCE, chance);
  }

  private static double middle(int range) {
    if (range == RANGE_ENDS.length) {
      return LAST_RANGE_TURNOVERS;
    }
    double start = range == 0 ? 0 : RANGE_ENDS[range - 1];
    return (start + RANGE_ENDS[range]) / 2;
  }

  private static int range(double turnovers) {
    int range = 0;
    while (range < RANGE_ENDS.length && turnovers > RANGE_ENDS[range]) {
      range++;
    }
    return range;
  }
}
