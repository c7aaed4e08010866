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
final class RepeatRight {
  private final RetryBudgets budgets;
  private final ForwardMetrics metrics;
  private final ExchangeLines lines;

  /** What the budget has granted for the next attempt, until that is sent. */
  private Optional<FleetRetryBudget.Decision> unsent = Optional.empty();

  RepeatRight(RetryBudgets budgets, ForwardMetrics metrics, ExchangeLines lines) {
    this.budgets = Objects.requireNonNull(budgets, "budgets is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.lines = Objects.requireNonNull(lines, "lines is null");
  }

  /** Tells whether the right is held for an attempt that was not sent yet. */
  boolean isHeld() {
    return unsent.isPresent();
  }

  /** Takes the right out of the budget, and returns whether there was one. */
  boolean take(String service) {
    FleetRetryBudget.Decision decision = budgets.tryTake(service);
    lines.repeat(service, decision);
    if (!decision.granted()) {
      metrics.count(Counter.RETRIES_DENIED);
      return false;
    }
    unsent = Optional.of(decision);
    return true;
  }

  /**
   * Takes the right that is held anew as the attempt is sent, which may be later than it was taken,
   * as after failed connections or a wait for room; returns whether there still was one.
   */
  boolean use(String service) {
    FleetRetryBudget.Decision granted = unsent.orElseThrow();
    unsent = Optional.empty();
    FleetRetryBudget.Decision again = budgets.takeAgain(service, granted);
    if (!again.granted()) {
      lines.repeat(service, again);
      metrics.count(Counter.RETRIES_DENIED);
    }
    return again.granted();
  }

  /** Gives the right back if it is held. */
  void giveBack(String service) {
    unsent.ifPresent(decision -> budgets.giveBack(service, decision));
    unsent = Optional.empty();
  }
}
