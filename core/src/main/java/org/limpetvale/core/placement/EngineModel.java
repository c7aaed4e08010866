package org.limpetvale.core.placement;

/**
 * Estimated prefill speed and stream pauses of the engines of a service.
 *
 * @param prefillTokensPerMilli prompt tokens that an engine reads per millisecond
 * @param idlePauseMillis pause between two events of a stream while the engine reads no prompt; 0
 *     if unknown
 * @param readingPauseMillis pause between two events of a stream while the engine reads long
 *     prompts chunk by chunk; 0 if unknown
 */
public record EngineModel(
    double prefillTokensPerMilli, double idlePauseMillis, double readingPauseMillis) {
  /** The model assumed for engines without observations. */
  public static final EngineModel DEFAULT = new EngineModel(40, 0, 0);

  public EngineModel {
    if (!(prefillTokensPerMilli > 0)) {
      throw new IllegalArgumentException("prefillTokensPerMilli is not positive");
    }
  }

  /** Returns the number of prompt tokens that an engine reads in the given time. */
  public double prefillTokensWithin(double millis) {
    return prefillTokensPerMilli * Math.max(0, millis);
  }

  /**
   * Returns how many pending prompt tokens an engine can read in one pause without exceeding a gap
   * target.
   */
  public double prefillTokensWithinGap(long targetGapMillis) {
    return prefillTokensWithin(targetGapMillis - idlePauseMillis);
  }

  /**
   * Returns whether the pauses of engines that read long prompts exceed the given share of a gap
   * target.
   */
  boolean exceedsGapTarget(long targetGapMillis, double share) {
    return readingPauseMillis > share * targetGapMillis;
  }
}
