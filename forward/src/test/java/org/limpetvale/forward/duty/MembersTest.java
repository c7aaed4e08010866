package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.testing.ManualTimer;

final class MembersTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final long RETRY_WINDOW_MILLIS = 10_000;
  private static final long ROUND_MILLIS = 1_000;

  private final ManualTimer timer = new ManualTimer();
  private final Members members = Members.of(RETRY_WINDOW_MILLIS, timer);

  private static Members.Row row(long version, int port) {
    return new Members.Row(
        StoreVersion.of(version), Optional.of(new InetSocketAddress("127.0.0.1", port)), Map.of());
  }

  private void read(long version) {
    members.recordRead(
        Map.of("a.1", row(version, 1), "b.1", row(version, 2)),
        StoreVersion.of(version),
        Moment.now(timer));
  }

  /** Writes this entry's row and reads all rows once per usage window. */
  private void renew(int times) {
    for (int i = 0; i < times; i++) {
      timer.advance(WINDOW_MILLIS);
      members.recordRenewal(Moment.now(timer));
      read(i);
    }
  }

  @Test
  void anEntryThatReadsOncePerUsageWindowKeepsItsShare() {
    renew(5);
    timer.advance(WINDOW_MILLIS + ROUND_MILLIS);
    assertThat(members.share().fraction()).isEqualTo(0.5);
  }

  @Test
  void anEntryThatCannotReadSoonHasNoAllowance() {
    renew(9);
    timer.advance(RETRY_WINDOW_MILLIS + 1);
    assertThat(members.share().fraction()).isZero();
  }

  @Test
  void anEntryHasNoAllowanceBeforeItsFirstRead() {
    members.recordRenewal(Moment.now(timer));
    timer.advance(3 * RETRY_WINDOW_MILLIS);
    assertThat(members.share().fraction()).isZero();
  }

  @Test
  void anEntryWhoseRowAnOlderCopyLacksStillCountsUntilItIsForgotten() {
    renew(5);
    readOwnRowOfNewEra(0);
    assertThat(members.share().fraction()).isEqualTo(0.5);
    for (int i = 1; i <= 6; i++) {
      timer.advance(WINDOW_MILLIS);
      members.recordRenewal(Moment.now(timer));
      readOwnRowOfNewEra(i);
    }
    assertThat(members.share().fraction()).isEqualTo(1.0);
  }

  private void readOwnRowOfNewEra(long number) {
    StoreVersion version = new StoreVersion(1, number);
    Members.Row own =
        new Members.Row(version, Optional.of(new InetSocketAddress("127.0.0.1", 1)), Map.of());
    members.recordRead(Map.of("a.1", own), version, Moment.now(timer));
  }

  @Test
  void anEntryThatHasLeftIsNotLiveButStillCountsAsASharer() {
    renew(5);
    Members.Row left =
        FleetRows.parseMember(StoreVersion.of(99), FleetRows.encodeDeparture(SharedSuspects.none()))
            .orElseThrow();
    members.recordRead(
        Map.of("a.1", left, "b.1", row(99, 2)), StoreVersion.of(99), Moment.now(timer));
    assertThat(members.share().fraction()).isEqualTo(0.5);
    assertThat(members.live()).containsExactly("b.1");
    assertThat(members.countBefore("c.1")).isEqualTo(1);
  }

  /** Reads the rows every round while only the second entry changes its row. */
  private void readWhileOnlyTheSecondWrites(long millis) {
    for (long version = 2; version * ROUND_MILLIS <= millis + ROUND_MILLIS; version++) {
      timer.advance(ROUND_MILLIS);
      members.recordRead(
          Map.of("a.1", row(1, 1), "b.1", row(version, 2)),
          StoreVersion.of(version),
          Moment.now(timer));
    }
  }

  @Test
  void anEntryWhoseRowIsUnchangedIsNoLongerLiveAndLaterForgotten() {
    read(1);
    readWhileOnlyTheSecondWrites(8_000);
    assertThat(members.live()).containsExactly("b.1");
    assertThat(members.countBefore("c.1")).isEqualTo(1);
    assertThat(members.isForgotten("a.1")).isFalse();
    readWhileOnlyTheSecondWrites(26_000);
    assertThat(members.isForgotten("a.1")).isTrue();
    assertThat(members.addressesExcept(new InetSocketAddress("127.0.0.1", 9))).hasSize(1);
  }

  @Test
  void timeWithoutReadsDoesNotCountAsSilence() {
    read(1);
    timer.advance(60_000);
    assertThat(members.sharers()).isGreaterThanOrEqualTo(2);
    assertThat(members.addressesExcept(new InetSocketAddress("127.0.0.1", 9))).hasSize(2);
    assertThat(members.countBefore("c.1")).isEqualTo(2);
    read(1);
    assertThat(members.sharers()).isEqualTo(2);
    assertThat(members.isForgotten("a.1")).isFalse();
  }
}
