package org.limpetvale.forward.relay;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.metrics.ForwardMetrics.Counter;

/**
 * The right of one request to another attempt, out of its service's retry budget: taken as an
 * attempt fails, taken anew as the next one is sent, and given back if none is.
 */
final class RetryPermit {
  private final RetryBudgets budgets;
  private final ForwardMetrics metrics;
  private final ExchangeLog log;

  /** What the budget has granted for the next attempt, until that is sent. */
  private Optional<FleetRetryBudget.Decision> heldDecision = Optional.empty();

  RetryPermit(RetryBudgets budgets, ForwardMetrics metrics, ExchangeLog lines) {
    this.budgets = Objects.requireNonNull(budgets, "budgets is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.log = Objects.requireNonNull(lines, "lines is null");
  }

  /** Tells whether the right is held for an attempt that was not sent yet. */
  boolean isHeld() {
    return heldDecision.isPresent();
  }

  /** Takes the right out of the budget, and returns whether there was one. */
  boolean tryAcquire(String service) {
    FleetRetryBudget.Decision decision = budgets.tryTake(service);
    log.retryDecided(service, decision);
    if (!decision.granted()) {
      metrics.count(Counter.RETRIES_DENIED);
      return false;
    }
    heldDecision = Optional.of(decision);
    return true;
  }

  /**
   * Takes the right that is held anew as the attempt is sent, which may be later than it was taken,
   * as after failed connections or a wait for room; returns whether there still was one.
   */
  boolean use(String service) {
    FleetRetryBudget.Decision granted = heldDecision.orElseThrow();
    heldDecision = Optional.empty();
    FleetRetryBudget.Decision again = budgets.renew(service, granted);
    if (!again.granted()) {
      log.retryDecided(service, again);
      metrics.count(Counter.RETRIES_DENIED);
    }
    return again.granted();
  }

  /** Gives the right back if it is held. */
  void release(String service) {
    heldDecision.ifPresent(decision -> budgets.giveBack(service, decision));
    heldDecision = Optional.empty();
  }
}
