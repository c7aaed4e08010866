package org.limpetvale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LimitHistoryTest {
  private final LimitHistory history = LimitHistory.of(1);

  private void arrive(String entry, int count, long fromMillis, long stepMillis) {
    for (int i = 0; i < count; i++) {
      history.recordArrival(entry, fromMillis + i * stepMillis);
    }
  }

  @Test
  void aWindowOfFourSecondsAllowsOneAndAHalfTimesTheLimitAndFiveMore() {
    history.recordTold("a", 0);
    arrive("a", 11, 4_000, 10);
    assertThat(history.worstWindow().usedFraction()).isEqualTo(1);
    arrive("a", 1, 7_999, 1);
    assertThat(history.worstWindow().usedFraction()).isGreaterThan(1);
  }

  @Test
  void requestsFurtherApartThanAWindowDoNotCountTogether() {
    history.recordTold("a", 0);
    arrive("a", 11, 4_000, 10);
    arrive("a", 11, 8_100, 10);
    assertThat(history.worstWindow().usedFraction()).isEqualTo(1);
  }

  @Test
  void requestsOfAnEntryThatWasNotToldDoNotCount() {
    history.recordTold("a", 0);
    arrive("b", 50, 4_000, 10);
    assertThat(history.worstWindow().requests()).isZero();
  }

  @Test
  void requestsWithinHalfASecondOfTheNoticeDoNotCount() {
    history.recordTold("a", 0);
    history.recordTold("b", 5_000);
    arrive("b", 50, 5_000, 9);
    assertThat(history.worstWindow().requests()).isZero();
  }

  @Test
  void windowsThatEndBeforeTheFleetHadTimeToAdaptDoNotCount() {
    history.recordTold("a", 5_000);
    arrive("a", 50, 5_600, 1);
    assertThat(history.worstWindow().requests()).isEqualTo(50);
    LimitHistory early = LimitHistory.of(1);
    early.recordTold("a", 5_000);
    early.recordArrival("a", 3_000);
    assertThat(early.worstWindow().requests()).isZero();
  }
}
