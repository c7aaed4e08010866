package org.limpetvale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

final class LimitNoticeTest {
  private final LimitNotice limited = LimitNotice.of(2.1, 1_000);

  @Test
  void aResponseWithoutALimitToALaterRequestEndsTheLimit() {
    assertThat(limited.afterResponse(StatedLimit.NONE, 1_001, 1_200))
        .isEqualTo(LimitNotice.ended(1_200));
  }

  @Test
  void aResponseToAnEarlierRequestThatArrivesLaterDoesNotEndTheLimit() {
    assertThat(limited.afterResponse(StatedLimit.NONE, 900, 1_200)).isEqualTo(limited);
  }

  @Test
  void anUnreadableLimitNeitherSetsNorEndsALimit() {
    StatedLimit unreadable = new StatedLimit.Unreadable("soon");
    assertThat(limited.afterResponse(unreadable, 1_100, 1_200)).isEqualTo(limited);
    assertThat(LimitNotice.NONE.afterResponse(unreadable, 1_100, 1_200))
        .isEqualTo(LimitNotice.NONE);
  }

  @Test
  void theLaterOfTwoNoticesHoldsWhateverTheOrderInWhichTheyArrive() {
    LimitNotice ended = LimitNotice.ended(1_500);
    assertThat(limited.laterOf(ended)).isEqualTo(ended);
    assertThat(ended.laterOf(limited)).isEqualTo(ended);
    assertThat(LimitNotice.ended(1_000).laterOf(limited)).isEqualTo(limited);
    assertThat(LimitNotice.NONE.laterOf(limited)).isEqualTo(limited);
  }

  @Test
  void aRateIsFiniteAndNotNegative() {
    assertThatThrownBy(() -> new StatedLimit.PerSecond(Double.NaN))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new StatedLimit.PerSecond(-1))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
