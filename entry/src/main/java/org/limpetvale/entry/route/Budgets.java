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
public final class Budgets {
  private static final double MILLIS_PER_MINUTE = 60_000;

  private final TimerService timer;
  private final IntSupplier entries;
  private final Map<String, Level> levels = new ConcurrentHashMap<>();

  private record Level(double tokens, long atMillis) {
    Level refilled(double perMinute, long nowMillis) {
      double earned = (nowMillis - atMillis) * perMinute / MILLIS_PER_MINUTE;
      return new Level(Math.min(perMinute, tokens + earned), nowMillis);
    }
  }

  /** Creates budgets shared among a number of entries. */
  public Budgets(TimerService timer, IntSupplier entries) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.entries = Objects.requireNonNull(entries, "entries is null");
  }

  /** Charges tokens and tells whether the workspace is over its budget. */
  public boolean chargeIsOver(WorkspaceParameters parameters, long tokens) {
    double perMinute =
        parameters.budgetTokensPerMinute() / (double) Math.max(1, entries.getAsInt());
    long nowMillis = timer.nowMillis();
    Level level =
        levels.compute(
            parameters.workspace(),
            (name, old) -> {
              Level full = old == null ? new Level(perMinute, nowMillis) : old;
              Level refilled = full.refilled(perMinute, nowMillis);
              return new Level(Math.max(-perMinute, refilled.tokens() - tokens), nowMillis);
            });
    return level.tokens() < 0;
  }
}
