package org.limpetvale.entry.route;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.limpetvale.core.config.WorkspaceParameters;
import org.limpetvale.core.time.TimerService;

/**
 * Budgets of tokens by workspace; a workspace beyond its budget runs on borrowed capacity.
 *
 * <p>Each entry counts its own share of the budget: the budget divided by the number of entries.
 */
public final class TokenBudgets {
  private static final double MILLIS_PER_MINUTE = 60_000;

  private final TimerService timer;
  private final IntSupplier entryCount;
  private final Map<String, Balance> balances = new ConcurrentHashMap<>();

  private record Balance(double tokens, long updatedMillis) {
    Balance refilled(double perMinute, long nowMillis) {
      double earned = (nowMillis - updatedMillis) * perMinute / MILLIS_PER_MINUTE;
      return new Balance(Math.min(perMinute, tokens + earned), nowMillis);
    }
  }

  /** Creates budgets shared among a number of entries. */
  public TokenBudgets(TimerService timer, IntSupplier entries) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.entryCount = Objects.requireNonNull(entries, "entries is null");
  }

  /** Charges tokens and tells whether the workspace is over its budget. */
  public boolean chargeExceedsBudget(WorkspaceParameters parameters, long tokens) {
    double perMinute =
        parameters.budgetTokensPerMinute() / (double) Math.max(1, entryCount.getAsInt());
    long nowMillis = timer.nowMillis();
    Balance level =
        balances.compute(
            parameters.workspace(),
            (name, old) -> {
              Balance full = old == null ? new Balance(perMinute, nowMillis) : old;
              Balance refilled = full.refilled(perMinute, nowMillis);
              return new Balance(Math.max(-perMinute, refilled.tokens() - tokens), nowMillis);
            });
    return level.tokens() < 0;
  }
}
