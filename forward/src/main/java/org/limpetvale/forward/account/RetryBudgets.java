package org.limpetvale.forward.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.core.retry.AllowanceShare;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.core.time.TimerService;

/** This entry's share of the fleet's retry budget, by service; for the event loop only. */
public final class RetryBudgets {
  /**
   * Bounds on the repeats of the whole fleet.
   *
   * @param ratio repeats for each request
   * @param allowance repeats beyond the ratio
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
   * @param share this entry's part of the allowance, as of now
   */
  public static RetryBudgets of(Bounds bounds, Supplier<AllowanceShare> share, TimerService timer) {
    return new RetryBudgets(bounds, share, timer);
  }

  /** Notes a request that is sent to a service for the first time. */
  public void requestSent(String service) {
    budget(service).recordRequest(timer.nowMillis());
  }

  /** Takes a repeat to a service out of the budget, if there is one. */
  public FleetRetryBudget.Decision tryTake(String service) {
    return budget(service).tryAcquire(timer.nowMillis(), share.get());
  }

  /**
   * Takes a repeat that was granted earlier anew, just before it is sent, so that it counts in the
   * window in which it arrives.
   */
  public FleetRetryBudget.Decision renew(String service, FleetRetryBudget.Decision unsent) {
    giveBack(service, unsent);
    return tryTake(service);
  }

  /** Takes back what a repeat was granted that was not sent. */
  public void giveBack(String service, FleetRetryBudget.Decision unsent) {
    budget(service).release(unsent);
  }

  private FleetRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name -> FleetRetryBudget.of(bounds.windowMillis(), bounds.ratio(), bounds.allowance()));
  }
}
