package org.limpetvale.entry.route;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.limpetvale.core.config.WorkspaceParameters;
import org.limpetvale.core.time.TimerService;

/**
 * Token budgets per workspace; a workspace over its budget runs on borrowed capacity.
 *
 * <p>Each entry enforces an equal share: the budget divided by the number of entries.
 */
public final class TokenBudgets {
  private static final double MILLIS_PER_MINUTE = 60_000;

  private final TimerService timer;
  private final IntSupplier entryCount;
  private final Map<String, Balance> balances = new ConcurrentHashMap<>();

  private record Balance(double tokens, long updatedMillis) {
    Balance refilled(double perMinute, long nowMillis) {
      double refillTokens = (nowMillis - updatedMillis) * perMinute / MILLIS_PER_MINUTE;
      return new Balance(Math.min(perMinute, tokens + refillTokens), nowMillis);
    }
  }

  /** Creates budgets shared equally among the entries counted by {@code entryCount}. */
  public TokenBudgets(TimerService timer, IntSupplier entryCount) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.entryCount = Objects.requireNonNull(entryCount, "entryCount is null");
  }

  /** Charges tokens and returns whether the workspace is over its budget. */
  public boolean chargeExceedsBudget(WorkspaceParameters parameters, long tokens) {
    double perMinute =
        parameters.budgetTokensPerMinute() / (double) Math.max(1, entryCount.getAsInt());
    long nowMillis = timer.nowMillis();
    Balance balance =
        balances.compute(
            parameters.workspace(),
            (name, old) -> {
              Balance previous = old == null ? new Balance(perMinute, nowMillis) : old;
              Balance refilled = previous.refilled(perMinute, nowMillis);
              return new Balance(Math.max(-perMinute, refilled.tokens() - tokens), nowMillis);
            });
    return balance.tokens() < 0;
  }
}
