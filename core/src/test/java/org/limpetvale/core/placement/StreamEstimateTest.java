package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class StreamEstimateTest {
  private final StreamEstimate estimate = StreamEstimate.empty();

  @Test
  void aBurstIsFollowedWithinASecondHoweverFewRequestsAreSeen() {
    estimate.note(100, 0);
    estimate.note(100, 10_000);
    assertThat(estimate.note(240, 11_000)).isGreaterThan(230);
  }

  @Test
  void aShortPauseGivesLittleBack() {
    estimate.note(240, 10_000);
    assertThat(estimate.note(0, 10_300)).isGreaterThan(200);
    assertThat(estimate.note(0, 30_000)).isLessThan(1);
  }

  @Test
  void manyNotesAtOneMomentCountAsOne() {
    estimate.note(100, 10_000);
    double before = estimate.note(100, 10_000);
    for (int i = 0; i < 50; i++) {
      estimate.note(300, 10_000);
    }
    assertThat(estimate.note(300, 10_000)).isEqualTo(before);
  }
}
