package org.limpetvale.core.config;

/**
 * The service level of a class of requests.
 *
 * @param tier priority; 0 is the highest, 3 the lowest
 * @param firstTokenTargetMillis latency target for the first token, in milliseconds
 * @param tokenGapTargetMillis latency target between consecutive tokens, in milliseconds
 * @param maxWaitMillis maximum time in a queue before the request is refused, in milliseconds
 * @param floorShare share of an upstream's tokens guaranteed to the class under any load, 0 to 0.5
 * @param maxTokens maximum number of completion tokens
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
