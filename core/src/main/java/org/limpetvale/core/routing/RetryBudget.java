package org.limpetvale.core.routing;

/**
 * A token bucket for retries: each success adds a fraction of a token, each retry takes one.
 *
 * @param tokens retries available now
 */
public record RetryBudget(double tokens) {
  private static final double TOKENS_PER_SUCCESS = 0.1;
  private static final double MAX_TOKENS = 50;

  /** Returns a full budget. */
  public static RetryBudget full() {
    return new RetryBudget(MAX_TOKENS);
  }

  /** Returns the budget after a success. */
  public RetryBudget afterSuccess() {
    return new RetryBudget(Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS));
  }

  /** Returns whether a retry may be sent. */
  public boolean allows() {
    return tokens >= 1;
  }

  /** Returns the budget after a retry. */
  public RetryBudget afterRetry() {
    return new RetryBudget(Math.max(0, tokens - 1));
  }
}
