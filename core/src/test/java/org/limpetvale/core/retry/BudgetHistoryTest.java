package org.limpetvale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class BudgetHistoryTest {
  private static final long WINDOW_MILLIS = 10_000;

  private final BudgetHistory history = BudgetHistory.of(WINDOW_MILLIS, 0.2, 10);

  @Test
  void retriesAreCountedInAWindowThatDoesNotEndWithARetry() {
    for (int i = 0; i < 100; i++) {
      history.recordRequest(5_000);
    }
    history.recordRetry(20_000);
    history.recordRetry(29_999);
    assertThat(history.worstWindow().retries()).isEqualTo(2);
    assertThat(history.worstWindow().allowed()).isEqualTo(10);
  }

  @Test
  void theLargestOfTheThreeRequestCountsIsUsed() {
    for (int i = 0; i < 50; i++) {
      history.recordRequest(12_000);
      history.recordRequest(30_000);
    }
    history.recordRetry(25_000);
    assertThat(history.worstWindow().allowed()).isEqualTo(20);
  }

  @Test
  void oneRetryBeyondTheBudgetIsDetected() {
    for (int i = 0; i < 11; i++) {
      history.recordRetry(1_000 + 900L * i);
    }
    assertThat(history.worstWindow().usedFraction()).isGreaterThan(1);
  }
}
