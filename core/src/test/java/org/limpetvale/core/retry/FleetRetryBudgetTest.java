package org.limpetvale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class FleetRetryBudgetTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 52;

  @Test
  void theEntriesOfAFleetStayWithinItsBudgetInEveryWindow() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int entries = 1 + random.nextInt(9);
      List<FleetRetryBudget> budgets = new ArrayList<>();
      for (int i = 0; i < entries; i++) {
        budgets.add(FleetRetryBudget.of(WINDOW_MILLIS, RATIO, ALLOWANCE));
      }
      List<Long> requests = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      for (long now = 0; now < 40_000; now += 1 + random.nextInt(40)) {
        FleetRetryBudget budget = budgets.get(random.nextInt(entries));
        budget.recordRequest(now);
        requests.add(now);
        for (int i = random.nextInt(4); i > 0; i--) {
          if (budget.tryAcquire(now, AllowanceShare.equal(entries, 0)).granted()) {
            retries.add(now);
          }
        }
      }
      for (long end : retries) {
        long sent = countInWindow(requests, end);
        assertThat((double) countInWindow(retries, end))
            .as("seed %d at %d", seed, end)
            .isLessThanOrEqualTo(RATIO * sent + ALLOWANCE);
      }
    }
  }

  private static long countInWindow(List<Long> times, long end) {
    return times.stream().filter(time -> time <= end && time > end - WINDOW_MILLIS).count();
  }

  @Test
  void theAllowanceIsAvailableAgainAfterTheWindow() {
    FleetRetryBudget budget = FleetRetryBudget.of(WINDOW_MILLIS, 0, 10);
    int taken = 0;
    while (taken(budget, 0)) {
      taken++;
    }
    assertThat(taken).isEqualTo(8);
    assertThat(taken(budget, WINDOW_MILLIS)).isFalse();
    assertThat(taken(budget, WINDOW_MILLIS + 1)).isTrue();
  }

  private static boolean taken(FleetRetryBudget budget, long nowMillis) {
    return budget.tryAcquire(nowMillis, AllowanceShare.equal(1, 0)).granted();
  }

  @Test
  void aNewEntryEarnsRetriesBeforeItSendsThem() {
    FleetRetryBudget budget = FleetRetryBudget.of(WINDOW_MILLIS, RATIO, ALLOWANCE);
    int granted = 0;
    for (int i = 1; i <= 100; i++) {
      budget.recordRequest(i);
      granted += budget.tryAcquire(i, AllowanceShare.none(0, -1)).granted() ? 1 : 0;
      assertThat((double) granted).isLessThanOrEqualTo(RATIO * i);
    }
    assertThat(granted).isGreaterThan(10);
  }

  @Test
  void oldRequestsDoNotEarnABurstOfRetries() {
    FleetRetryBudget budget = FleetRetryBudget.of(WINDOW_MILLIS, RATIO, ALLOWANCE);
    for (int i = 0; i < 400; i++) {
      budget.recordRequest(i * 25L);
    }
    int granted = 0;
    while (budget.tryAcquire(WINDOW_MILLIS, AllowanceShare.none(0, -1)).granted()) {
      granted++;
    }
    assertThat((double) granted).isBetween(10.0, RATIO * 400 / 4);
  }

  @Test
  void anEntryWithFewRequestsKeepsOneEarnedRetryWithoutAllowance() {
    FleetRetryBudget budget = FleetRetryBudget.of(WINDOW_MILLIS, RATIO, ALLOWANCE);
    for (int i = 0; i < 10; i++) {
      budget.recordRequest(i * 5_000L);
    }
    assertThat(budget.tryAcquire(50_000, AllowanceShare.none(0, -1)).granted()).isTrue();
    assertThat(budget.tryAcquire(50_000, AllowanceShare.none(0, -1)).granted()).isFalse();
  }

  @Test
  void anUnsentRetryIsReturnedToTheBudget() {
    FleetRetryBudget budget = FleetRetryBudget.of(WINDOW_MILLIS, 0, 2);
    FleetRetryBudget.Decision first = budget.tryAcquire(0, AllowanceShare.equal(1, 0));
    assertThat(first.granted()).isTrue();
    assertThat(taken(budget, 1)).isFalse();
    budget.release(first);
    assertThat(taken(budget, 2)).isTrue();
    assertThat(taken(budget, 3)).isFalse();
  }
}
