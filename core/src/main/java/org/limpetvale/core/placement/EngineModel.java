package org.limpetvale.core.placement;

/**
 * How the engines of a service read prompts and make events, as learned from their answers.
 *
 * @param prefillTokensPerMilli prompt tokens that an engine reads in a millisecond
 * @param idlePauseMillis pause between two events of a stream while its engine reads no prompt; 0
 *     while unknown
 * @param readingPauseMillis the same while its engine reads long prompts step after step; 0 while
 *     unknown
 */
public record EngineModel(
    double prefillTokensPerMilli, double idlePauseMillis, double readingPauseMillis) {
  /** What is assumed of engines that have not been seen at work. */
  public static final EngineModel DEFAULT = new EngineModel(40, 0, 0);

  public EngineModel {
    if (!(prefillTokensPerMilli > 0)) {
      throw new IllegalArgumentException("prefillTokensPerMilli is not positive");
    }
  }

  /** Returns the prompt tokens that an engine reads in a time. */
  public double prefillTokensWithin(double millis) {
    return prefillTokensPerMilli * Math.max(0, millis);
  }

  /** Returns the unread prompt tokens that an engine can hold without a pause beyond a target. */
  public double prefillTokensWithinGap(long targetGapMillis) {
    return prefillTokensWithin(targetGapMillis - idlePauseMillis);
  }

  /** Tells whether engines that read long prompts make pauses beyond a share of a gap target. */
  boolean exceedsGapTarget(long targetGapMillis, double share) {
    return readingPauseMillis > share * targetGapMillis;
  }
}
