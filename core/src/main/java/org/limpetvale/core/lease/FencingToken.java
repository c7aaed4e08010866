package org.limpetvale.core.lease;

/**
 * Numbers fencing tokens so that they rise across returns of the store from an older copy.
 *
 * <p>The high digits of a token are the era of the store in which it was first used. A copy may
 * hold an older token than the last one that was used, but never one of the new era, so a token of
 * the new era is higher than all that were used before and is used by one holder only.
 */
public final class FencingToken {
  /** Number of tokens in an era. */
  private static final long TOKENS_PER_ERA = 1_000_000_000;

  private FencingToken() {}

  /**
   * Returns the token that follows another.
   *
   * @param previous the last known token; 0 if there is none
   * @param era current era of the store
   */
  public static long next(long previous, long era) {
    return Math.max(previous, era * TOKENS_PER_ERA) + 1;
  }

  /** Returns the era of the store in which a token was first used. */
  public static long eraOf(long token) {
    return token / TOKENS_PER_ERA;
  }
}
