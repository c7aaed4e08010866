package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class StatedSpeedTest {
  private final StatedSpeed speed = StatedSpeed.empty();

  @Test
  void theSpeedIsUnknownBeforeAnyAnswer() {
    assertThat(speed.relativeSpeed()).isZero();
    assertThat(speed.isStatedSince(0)).isFalse();
  }

  /** Answers of a slow machine that others slow down further for a seventh of the time. */
  @Test
  void momentsOfSlownessDoNotChangeTheLastingSpeed() {
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      double moment = random.nextDouble() < 0.15 ? 2.5 : 1;
      speed.recordSlowdown(moment * 1.6, i * 50L);
      if (i > 5) {
        assertThat(speed.relativeSpeed()).isCloseTo(1 / 1.6, within(0.05));
      }
    }
  }

  @Test
  void aSingleAnswerDoesNotMakeTheSpeedKnown() {
    speed.recordSlowdown(4, 0);
    assertThat(speed.isKnown()).isFalse();
    speed.recordSlowdown(1.6, 1);
    speed.recordSlowdown(1.6, 2);
    assertThat(speed.isKnown()).isTrue();
  }

  @Test
  void aMachineThatBecomesFasterIsKnownAsFasterSoon() {
    for (int i = 0; i < 60; i++) {
      speed.recordSlowdown(1.6, i);
    }
    for (int i = 0; i < 60; i++) {
      speed.recordSlowdown(0.6, 100 + i);
    }
    assertThat(speed.relativeSpeed()).isGreaterThan(1.5);
    assertThat(speed.isStatedSince(150)).isTrue();
    assertThat(speed.isStatedSince(160)).isFalse();
  }

  @Test
  void aSpeedNextToTheUsualOneIsTheUsualOne() {
    speed.recordSlowdown(1, 0);
    assertThat(speed.relativeSpeed()).isEqualTo(1);
    speed.recordSlowdown(1.05, 0);
    assertThat(speed.relativeSpeed()).isEqualTo(1);
  }

  @Test
  void anAbsurdStatementIsBounded() {
    speed.recordSlowdown(1_000, 0);
    assertThat(speed.relativeSpeed()).isBetween(0.1, 0.2);
  }
}
