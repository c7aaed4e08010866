package org.limpetvale.forward.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.testing.ManualTimer;

final class FleetClockTest {
  private final ManualTimer timer = new ManualTimer();
  private final FleetClock clock = FleetClock.of(timer);
  private final long startMillis = timer.wallMillis();

  private void sync(long storeMillis) {
    clock.sync(storeMillis, Moment.now(timer));
  }

  @Test
  void itReturnsTheVmsTimeUntilTheStoreResponds() {
    assertThat(clock.millis()).isEqualTo(startMillis);
  }

  @Test
  void stepsOfTheVmsClockHaveNoEffect() {
    sync(50_000);
    timer.advance(1_000);
    timer.stepWall(3_000);
    assertThat(clock.millis()).isEqualTo(startMillis + 1_000);
    sync(51_000);
    timer.advance(500);
    assertThat(clock.millis()).isEqualTo(startMillis + 1_500);
  }

  @Test
  void aVmThatStartsWithAWrongClockUsesTheMedianOffset() {
    timer.stepWall(-4_000);
    sync(50_000);
    long correctOffset = clock.ownOffsetMillis() + 4_000;
    clock.setPeerOffsets(List.of(correctOffset, correctOffset + 1));
    assertThat(clock.millis()).isEqualTo(startMillis);
  }

  @Test
  void aVmWithAWrongClockKeepsTheFleetsTimeWhileNoOtherEntryHasReported() {
    timer.stepWall(40_000);
    sync(50_000);
    long correctOffset = clock.ownOffsetMillis() - 40_000;
    clock.setPeerOffsets(List.of(correctOffset, correctOffset + 1));
    clock.setPeerOffsets(List.of());
    sync(10);
    assertThat(clock.millis()).isEqualTo(startMillis + 1);
  }

  @Test
  void theStoreCorrectsTheTimeAfterASuspension() {
    sync(50_000);
    timer.stepWall(5_000);
    sync(55_000);
    assertThat(clock.millis()).isEqualTo(startMillis + 5_000);
  }

  @Test
  void anAnswerThatASuspensionDelayedDoesNotPutTheClockBack() {
    sync(50_000);
    Moment sent = Moment.now(timer);
    timer.stepWall(90_000);
    clock.sync(50_002, sent);
    sync(140_000);
    assertThat(clock.millis()).isEqualTo(startMillis + 90_000);
  }

  @Test
  void anAnswerThatTookLongDoesNotPutTheClockBack() {
    sync(50_000);
    Moment sent = Moment.now(timer);
    timer.advance(5_000);
    clock.sync(50_002, sent);
    assertThat(clock.millis()).isEqualTo(startMillis + 5_000);
  }

  @Test
  void aRestartOfTheStoresClockDoesNotChangeTheTime() {
    sync(50_000);
    timer.advance(2_000);
    sync(10);
    assertThat(clock.millis()).isEqualTo(startMillis + 2_000);
  }
}
