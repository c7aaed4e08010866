package org.limpetvale.core.config;

/**
 * Service level of one class of requests.
 *
 * @param tier priority; 0 is the highest, 3 the lowest
 * @param firstTokenTargetMillis target for the first token, in milliseconds
 * @param tokenGapTargetMillis target for the gap between tokens, in milliseconds
 * @param maxWaitMillis longest wait in a queue before the request is refused, in milliseconds
 * @param floorShare share of an upstream's tokens that the class gets under any load, 0 to 0.5
 * @param maxTokens most tokens that an answer may have
 */
public record RequestClass(
    int tier,
    long firstTokenTargetMillis,
    long tokenGapTargetMillis,
    long maxWaitMillis,
    double floorShare,
    int maxTokens) {
  /** Number of tiers. */
  public static final int TIERS = 4;
}
