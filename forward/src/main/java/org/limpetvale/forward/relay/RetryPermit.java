package org.limpetvale.forward.relay;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.metrics.ForwardMetrics.Counter;

/**
 * A request's permit for another attempt, from the retry budget of its service. It is acquired when
 * an attempt fails, acquired again when the next one is sent, and released if none is sent.
 */
final class RetryPermit {
  private final RetryBudgets budgets;
  private final ForwardMetrics metrics;
  private final ExchangeLog log;

  /** The budget's grant for the next attempt, until that attempt is sent. */
  private Optional<FleetRetryBudget.Decision> heldDecision = Optional.empty();

  RetryPermit(RetryBudgets budgets, ForwardMetrics metrics, ExchangeLog log) {
    this.budgets = Objects.requireNonNull(budgets, "budgets is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns whether a permit is held for an attempt that has not been sent. */
  boolean isHeld() {
    return heldDecision.isPresent();
  }

  /** Acquires a permit from the budget; returns whether it was granted. */
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
   * Uses the held permit as the attempt is sent. Acquires it again from the budget, since failed
   * connections or waiting for capacity may have delayed the attempt; returns whether it was still
   * granted.
   */
  boolean use(String service) {
    FleetRetryBudget.Decision granted = heldDecision.orElseThrow();
    heldDecision = Optional.empty();
    FleetRetryBudget.Decision renewed = budgets.renew(service, granted);
    if (!renewed.granted()) {
      log.retryDecided(service, renewed);
      metrics.count(Counter.RETRIES_DENIED);
    }
    return renewed.granted();
  }

  /** Returns the permit to the budget if it is held. */
  void release(String service) {
    heldDecision.ifPresent(decision -> budgets.giveBack(service, decision));
    heldDecision = Optional.empty();
  }
}
