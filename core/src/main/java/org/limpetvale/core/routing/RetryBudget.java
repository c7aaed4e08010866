package org.limpetvale.core.routing;

/**
 * A budget of retries: a fraction of the successes, with a small reserve.
 *
 * @param tokens retries that may be made now
 */
public record RetryBudget(double tokens) {
  private static final double EARNED_PER_SUCCESS = 0.1;
  private static final double RESERVE = 50;

  /** Returns a budget that holds its reserve. */
  public static RetryBudget full() {
    return new RetryBudget(RESERVE);
  }

  /** Returns the budget after a success. */
  public RetryBudget afterSuccess() {
    return new RetryBudget(Math.min(RESERVE, tokens + EARNED_PER_SUCCESS));
  }

  /** Tells whether a retry may be made. */
  public boolean allows() {
    return tokens >= 1;
  }

  /** Returns the budget after a retry. */
  public RetryBudget afterRetry() {
    return new RetryBudget(Math.max(0, tokens - 1));
  }
}
