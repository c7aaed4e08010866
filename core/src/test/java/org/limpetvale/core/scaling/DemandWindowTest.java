package org.limpetvale.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DemandWindowTest {
  private final DemandWindow window = DemandWindow.empty();

  @Test
  void withoutSamplesTheForecastIsZero() {
    assertThat(window.forecast()).isZero();
    assertThat(window.coversFullWindow(100_000)).isFalse();
  }

  @Test
  void aPeakCountsUntilItLeavesTheWindow() {
    window.recordDemand(40, 0);
    window.recordDemand(5, 10_000);
    assertThat(window.forecast()).isEqualTo(40);
    window.recordDemand(5, 31_000);
    assertThat(window.forecast()).isEqualTo(5);
    assertThat(window.coversFullWindow(31_000)).isTrue();
  }

  @Test
  void aRiseIsProjectedWhileNewUpstreamsBoot() {
    window.recordDemand(10, 0);
    window.recordDemand(20, 4_000);
    assertThat(window.forecast()).isEqualTo(40);
  }
}
