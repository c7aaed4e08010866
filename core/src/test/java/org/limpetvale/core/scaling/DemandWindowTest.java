package org.limpetvale.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DemandWindowTest {
  private final DemandWindow window = DemandWindow.empty();

  @Test
  void withoutSamplesNothingIsExpected() {
    assertThat(window.expected()).isZero();
    assertThat(window.isLong(100_000)).isFalse();
  }

  @Test
  void aPeakIsRememberedForAWhileAndThenForgotten() {
    window.note(40, 0);
    window.note(5, 10_000);
    assertThat(window.expected()).isEqualTo(40);
    window.note(5, 31_000);
    assertThat(window.expected()).isEqualTo(5);
    assertThat(window.isLong(31_000)).isTrue();
  }

  @Test
  void aRiseIsExpectedToGoOnWhileNewUpstreamsBoot() {
    window.note(10, 0);
    window.note(20, 4_000);
    assertThat(window.expected()).isEqualTo(40);
  }
}
