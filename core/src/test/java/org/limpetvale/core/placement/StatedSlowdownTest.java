package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class StatedSlowdownTest {
  /** A machine that is slowed by a factor of 2.5 for a share of the time. */
  private static StatedSlowdown slowedForShareOf(double share, int statements) {
    Random random = new Random(7);
    StatedSlowdown stated = StatedSlowdown.NONE;
    for (int i = 0; i < statements; i++) {
      stated = stated.withStatement(random.nextDouble() < share ? 2.5 : 1, 200L * i);
    }
    return stated;
  }

  @Test
  void theShareOfTheTimeCountsOnceTheLastStatementIsOld() {
    StatedSlowdown stated = slowedForShareOf(0.2, 200).withStatement(2.5, 50_000);
    assertThat(stated.expectedFactor(50_000)).isEqualTo(2.5);
    assertThat(stated.expectedFactor(50_300)).isLessThan(1.6);
    assertThat(stated.expectedFactor(52_000)).isCloseTo(1.3, within(0.15));
  }

  @Test
  void aMomentOfSlownessEndsSoonWithoutFurtherStatements() {
    StatedSlowdown stated = slowedForShareOf(0.1, 100).withStatement(2.5, 50_000);
    assertThat(stated.isSlowMoment(50_020)).isTrue();
    assertThat(stated.isSlowMoment(50_500)).isFalse();
  }

  @Test
  void withoutStatementsNothingIsSlow() {
    assertThat(StatedSlowdown.NONE.expectedFactor(1_000)).isEqualTo(1);
    assertThat(StatedSlowdown.NONE.isSlowMoment(1_000)).isFalse();
  }
}
