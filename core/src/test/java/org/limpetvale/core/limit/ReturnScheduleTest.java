package org.limpetvale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ReturnScheduleTest {
  private final ReturnSchedule schedule = ReturnSchedule.of(200, 10_000);

  /** A burst of callers that all get the same time would return as a burst. */
  @Test
  void refusedCallersReturnAtTheRateAtWhichTheyCanBeServed() {
    for (int i = 0; i < 10; i++) {
      assertThat(schedule.returnAfterMillis(0, 0, 2, 0)).isEqualTo(200 + 500L * i);
    }
  }

  @Test
  void callersReturnAfterTheRequestsThatWaitHaveBeenServed() {
    assertThat(schedule.returnAfterMillis(0, 0, 2, 6)).isEqualTo(3_000);
  }

  @Test
  void noCallerIsToldMoreThanTheLongestTime() {
    for (int i = 0; i < 100; i++) {
      assertThat(schedule.returnAfterMillis(0, 0, 2, 0)).isLessThanOrEqualTo(10_000);
    }
    assertThat(schedule.returnAfterMillis(0, 0, 0, 5)).isEqualTo(10_000);
  }

  @Test
  void theScheduleEmptiesAsTimePasses() {
    for (int i = 0; i < 6; i++) {
      schedule.returnAfterMillis(0, 0, 2, 0);
    }
    assertThat(schedule.returnAfterMillis(60_000, 0, 2, 0)).isEqualTo(200);
  }

  @Test
  void callersReturnFromTheEndOfAPauseOn() {
    assertThat(schedule.returnAfterMillis(1_000, 4_000, 2, 0)).isEqualTo(3_000);
    assertThat(schedule.returnAfterMillis(1_000, 4_000, 2, 0)).isEqualTo(3_500);
  }
}
