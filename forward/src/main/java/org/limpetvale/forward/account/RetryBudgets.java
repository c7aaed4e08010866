package org.limpetvale.forward.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.core.retry.AllowanceShare;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.core.time.TimerService;

/**
 * This entry's share of the fleet's retry budget, by service. Must only be used on the event loop.
 */
public final class RetryBudgets {
  /**
   * Bounds on the retries of the whole fleet.
   *
   * @param ratio retries allowed per request
   * @param allowance retries allowed beyond the ratio
   * @param windowMillis length of the sliding window
   */
  public record Bounds(double ratio, double allowance, long windowMillis) {}

  private final Bounds bounds;
  private final Supplier<AllowanceShare> share;
  private final TimerService timer;
  private final Map<String, FleetRetryBudget> budgets = new HashMap<>();

  private RetryBudgets(Bounds bounds, Supplier<AllowanceShare> share, TimerService timer) {
    this.bounds = Objects.requireNonNull(bounds, "bounds is null");
    this.share = Objects.requireNonNull(share, "share is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /**
   * Returns unused budgets.
   *
   * @param share supplies this entry's current share of the allowance
   */
  public static RetryBudgets of(Bounds bounds, Supplier<AllowanceShare> share, TimerService timer) {
    return new RetryBudgets(bounds, share, timer);
  }

  /** Records the first attempt of a request to a service. */
  public void requestSent(String service) {
    budget(service).recordRequest(timer.nowMillis());
  }

  /** Takes a retry to a service from the budget, if the budget allows one. */
  public FleetRetryBudget.Decision tryTake(String service) {
    return budget(service).tryAcquire(timer.nowMillis(), share.get());
  }

  /**
   * Refunds an earlier granted retry and takes a new one. Called just before the retry is sent, so
   * that it counts in the window in which it reaches the upstream.
   */
  public FleetRetryBudget.Decision renew(String service, FleetRetryBudget.Decision unsent) {
    giveBack(service, unsent);
    return tryTake(service);
  }

  /** Refunds the grant of a retry that was not sent. */
  public void giveBack(String service, FleetRetryBudget.Decision unsent) {
    budget(service).release(unsent);
  }

  private FleetRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name -> FleetRetryBudget.of(bounds.windowMillis(), bounds.ratio(), bounds.allowance()));
  }
}
