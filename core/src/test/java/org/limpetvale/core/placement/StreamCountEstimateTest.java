package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class StreamCountEstimateTest {
  private final StreamCountEstimate estimate = StreamCountEstimate.empty();

  @Test
  void aBurstIsFollowedWithinASecondEvenWithFewUpdates() {
    estimate.update(100, 0);
    estimate.update(100, 10_000);
    assertThat(estimate.update(240, 11_000)).isGreaterThan(230);
  }

  @Test
  void aShortPauseBarelyLowersTheEstimate() {
    estimate.update(240, 10_000);
    assertThat(estimate.update(0, 10_300)).isGreaterThan(200);
    assertThat(estimate.update(0, 30_000)).isLessThan(1);
  }

  @Test
  void manyUpdatesAtOneMomentCountAsOne() {
    estimate.update(100, 10_000);
    double before = estimate.update(100, 10_000);
    for (int i = 0; i < 50; i++) {
      estimate.update(300, 10_000);
    }
    assertThat(estimate.update(300, 10_000)).isEqualTo(before);
  }
}
