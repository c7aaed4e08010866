package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.testing.ManualTimer;

final class EntryRosterTest {
  private static final Optional<InetSocketAddress> ADDRESS =
      Optional.of(new InetSocketAddress("127.0.0.1", 1));

  private final ManualTimer timer = new ManualTimer();
  private final Members members = Members.of(10_000, timer);
  private final PeerReports peers = PeerReports.of(timer);
  private final EntryRoster roster = EntryRoster.of("a.1", members, peers, timer);

  private static Members.Row row(long version) {
    return new Members.Row(StoreVersion.of(version), ADDRESS, Map.of());
  }

  private void read(Map<String, Members.Row> rows) {
    members.recordRead(rows, StoreVersion.of(1), Moment.now(timer));
  }

  private void report(String writer, long number) {
    peers.accept(PeerReport.parse("{\"w\":\"" + writer + "\",\"n\":" + number + "}").orElseThrow());
  }

  @Test
  void anEntryThatHasNotReadTheRowsKnowsNoEntries() {
    timer.advance(60_000);
    report("b.1", 1);
    assertThat(roster.entries()).isEmpty();
  }

  @Test
  void aStartingEntryWaitsUntilTheOthersCanKnowOfIt() {
    read(Map.of("a.1", row(1)));
    assertThat(roster.entries()).isEmpty();
    timer.advance(2_000);
    assertThat(roster.entries()).containsExactly("a.1");
  }

  @Test
  void entriesThatOnlyReportOrOnlyWriteTheirRowsCount() {
    read(Map.of("a.1", row(1), "b.1", row(2)));
    timer.advance(2_000);
    report("c.1", 1);
    assertThat(roster.entries()).containsExactly("a.1", "b.1", "c.1");
  }

  @Test
  void nobodyBecomesSilentWhileTheRowsCannotBeRead() {
    read(Map.of("a.1", row(1), "b.1", row(2)));
    timer.advance(60_000);
    assertThat(roster.entries()).containsExactly("a.1", "b.1");
  }

  @Test
  void anEntryThatIsSilentInItsRowAndItsReportsNoLongerCounts() {
    for (int i = 0; i < 5; i++) {
      read(Map.of("a.1", row(10 + i), "b.1", row(2)));
      timer.advance(2_000);
    }
    assertThat(roster.entries()).containsExactly("a.1");
  }

  @Test
  void anEntryThatHasLeftDoesNotCount() {
    read(
        Map.of(
            "a.1", row(1), "b.1", new Members.Row(StoreVersion.of(2), Optional.empty(), Map.of())));
    timer.advance(2_000);
    assertThat(roster.entries()).containsExactly("a.1");
  }
}
