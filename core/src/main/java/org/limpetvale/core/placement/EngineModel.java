package org.limpetvale.core.placement;

/**
 * How the engines of a service read prompts and make events, as learned from their answers.
 *
 * @param prefillTokensPerMilli prompt tokens that an engine reads in a millisecond; 0 while unknown
 * @param idlePauseMillis pause between two events of a stream while its engine reads no prompt; 0
 *     while unknown
 * @param readingPauseMillis the same while its engine reads long prompts step after step; 0 while
 *     unknown
 */
public record EngineModel(
    double prefillTokensPerMilli, double idlePauseMillis, double readingPauseMillis) {
  /** Engines that have not been seen at work. */
  public static final EngineModel UNKNOWN = new EngineModel(0, 0, 0);

  /**
   * Share of a gap target that idle pause and unread prompts may fill, as other entries may have
   * added some that are not heard of yet.
   */
  private static final double GAP_SHARE = 0.75;

  /** Speed that is assumed of engines that nobody has seen reading. */
  private static final double ASSUMED_TOKENS_PER_MILLI = 40;

  public EngineModel {
    if (!(prefillTokensPerMilli >= 0)) {
      throw new IllegalArgumentException("prefillTokensPerMilli is negative");
    }
  }

  /** Returns the prompt tokens that an engine reads in a time. */
  public double tokensIn(double millis) {
    return speed() * Math.max(0, millis);
  }

  /** Returns the time in which an engine reads prompt tokens, in milliseconds. */
  double millisFor(double tokens) {
    return tokens / speed();
  }

  private double speed() {
    return prefillTokensPerMilli > 0 ? prefillTokensPerMilli : ASSUMED_TOKENS_PER_MILLI;
  }

  /**
   * Returns the unread prompt tokens that an engine can hold without a pause beyond a target; 0 if
   * the pause of an idle engine fills it.
   */
  public double tokensInGap(long targetGapMillis) {
    return tokensIn(GAP_SHARE * targetGapMillis - idlePauseMillis);
  }

  /** Tells whether engines that read long prompts make pauses beyond a share of a gap target. */
  boolean breaks(long targetGapMillis, double share) {
    return readingPauseMillis > share * targetGapMillis;
  }
}
