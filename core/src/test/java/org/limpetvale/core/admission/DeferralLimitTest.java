package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DeferralLimitTest {
  private static final DispatchOrder.SortKey REQUEST =
      new DispatchOrder.SortKey(1, 1_000, 500, 7_000);

  @Test
  void aRequestThatNobodyIsAheadOfWaitsWhileThereIsTimeForItsAnswer() {
    assertThat(DeferralLimit.latestSendMillis(REQUEST, 0)).isEqualTo(6_500);
  }

  @Test
  void aRequestThatOthersAreAheadOfWaitsOnlyWithinItsTarget() {
    assertThat(DeferralLimit.latestSendMillis(REQUEST, 1)).isEqualTo(1_500);
  }

  @Test
  void noRequestWaitsUntilItIsTooLateForAnAnswer() {
    DispatchOrder.SortKey brief = new DispatchOrder.SortKey(1, 1_000, 500, 1_700);
    assertThat(DeferralLimit.latestSendMillis(brief, 1)).isEqualTo(1_200);
    DispatchOrder.SortKey instant = new DispatchOrder.SortKey(1, 1_000, 0, 1_700);
    assertThat(DeferralLimit.latestSendMillis(instant, 0)).isEqualTo(1_660);
  }
}
