package org.limpetvale.forward.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.forward.testing.ManualTimer;

final class FleetClockTest {
  private final ManualTimer timer = new ManualTimer();
  private final FleetClock clock = FleetClock.of(timer);
  private final long startMillis = timer.wallMillis();

  @Test
  void itReturnsTheVmsTimeUntilTheStoreResponds() {
    assertThat(clock.millis()).isEqualTo(startMillis);
  }

  @Test
  void stepsOfTheVmsClockHaveNoEffect() {
    clock.sync(50_000);
    timer.advance(1_000);
    timer.stepWall(3_000);
    assertThat(clock.millis()).isEqualTo(startMillis + 1_000);
    clock.sync(51_000);
    timer.advance(500);
    assertThat(clock.millis()).isEqualTo(startMillis + 1_500);
  }

  @Test
  void aVmThatStartsWithAWrongClockUsesTheMedianOffset() {
    timer.stepWall(-4_000);
    clock.sync(50_000);
    long correctOffset = clock.ownOffsetMillis() + 4_000;
    clock.setPeerOffsets(List.of(correctOffset, correctOffset + 1));
    assertThat(clock.millis()).isEqualTo(startMillis);
  }

  @Test
  void theStoreCorrectsTheTimeAfterASuspension() {
    clock.sync(50_000);
    timer.stepWall(5_000);
    clock.sync(55_000);
    assertThat(clock.millis()).isEqualTo(startMillis + 5_000);
  }

  @Test
  void aRestartOfTheStoresClockDoesNotChangeTheTime() {
    clock.sync(50_000);
    timer.advance(2_000);
    clock.sync(10);
    assertThat(clock.millis()).isEqualTo(startMillis + 2_000);
  }
}
