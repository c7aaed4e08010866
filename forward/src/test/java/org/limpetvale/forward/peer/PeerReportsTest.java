package org.limpetvale.forward.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.crash.PartCrash;
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.TestReports;

final class PeerReportsTest {
  private final ManualTimer timer = new ManualTimer();
  private final PeerReports peerReports = PeerReports.of(timer);

  private static PeerReport report(String writer, long number, long count, int requests) {
    return new PeerReport(
        writer,
        number,
        1_700_000_000_000L,
        6,
        Map.of(7L, Map.of("w", count)),
        Map.of("u", new PeerReport.Load(requests, 100 * requests, 1, 10 * requests, 20 * requests)),
        Map.of("u", Set.of("part-1", "part-2")),
        Map.of("service", 2),
        Map.of(
            "part",
            new PartReport(
                1,
                PartReport.NEVER_SERVED,
                List.of(new PartCrash("a1", "b2", 3, true), new PartCrash("a2", "b3", 0, false))),
            "=digest",
            new PartReport(2, PartReport.NEVER_SERVED, List.of(new PartCrash("a3", "b4", 1, true))),
            "served part",
            new PartReport(0, 7, List.of())),
        Map.of("service", new EngineModel(42.5, 20, 165.5)),
        Map.of(
            "u", new PeerReport.Limit(LimitNotice.of(2.1, 1_700_000_000_000L), 5),
            "v", new PeerReport.Limit(LimitNotice.ended(1_700_000_000_001L), 6)),
        Map.of("v", 6L),
        4,
        2,
        17);
  }

  @Test
  void aReportRoundTripsThroughJson() {
    PeerReport report = report("a.1", 3, 5, 2);
    assertThat(PeerReport.parse(report.toJson())).contains(report);
    assertThat(PeerReport.parse("no report")).isEmpty();
    assertThat(PeerReport.parse("{\"w\": 1}")).isEmpty();
  }

  @Test
  void reportsThatArriveOutOfOrderDoNotDecreaseCounts() {
    peerReports.accept(report("a.1", 4, 9, 1));
    peerReports.accept(report("a.1", 3, 5, 1));
    assertThat(peerReports.usageByEntry(7)).containsEntry("a.1", Map.of("w", 9L));
  }

  @Test
  void aReportWithoutUsageKeepsTheUsageReportedBefore() {
    peerReports.accept(report("a.1", 1, 9, 1));
    peerReports.accept(TestReports.empty("a.1", 2));
    assertThat(peerReports.usageByEntry(7)).containsEntry("a.1", Map.of("w", 9L));
    assertThat(peerReports.peerLoad("u").requests()).isZero();
  }

  @Test
  void aReportWithoutUsageClosesNoWindow() {
    peerReports.accept(report("a.1", 1, 9, 1));
    assertThat(peerReports.entriesWithClosed(6)).containsExactly("a.1");
    peerReports.accept(
        PeerReport.parse("{\"w\":\"a.1\",\"n\":2,\"c\":8}").orElseThrow().withoutUsage());
    assertThat(peerReports.entriesWithClosed(7)).isEmpty();
    assertThat(peerReports.entriesWithClosed(6)).containsExactly("a.1");
  }

  @Test
  void theReportPeriodGrowsWithTheNumberOfEntries() {
    assertThat(PeerLink.periodMillis(0)).isEqualTo(150);
    assertThat(PeerLink.periodMillis(4)).isEqualTo(150);
    assertThat(PeerLink.periodMillis(29)).isBetween(290L, 320L);
    assertThat(PeerLink.periodMillis(340)).isEqualTo(900);
  }

  /** Entries of an earlier version write loads without a stated speed. */
  @Test
  void theMeanOfTheSpeedsThatEntriesHeardStatedIsUsed() {
    accept("a.1", "[2,0,0,0,0,160]");
    accept("b.1", "[3,0,0,0,0,150]");
    accept("c.1", "[1,0,0,0,0]");
    assertThat(peerReports.peerLoad("u")).isEqualTo(new PeerReport.Load(6, 0, 0, 0, 0, 155));
  }

  private void accept(String writer, String load) {
    String json = "{\"w\":\"" + writer + "\",\"n\":1,\"l\":{\"u\":" + load + "}}";
    PeerReport report = PeerReport.parse(json).orElseThrow();
    assertThat(PeerReport.parse(report.toJson())).contains(report);
    peerReports.accept(report);
  }

  @Test
  void freshLoadsOfTheOtherEntriesAreSummed() {
    peerReports.accept(report("a.1", 1, 0, 2));
    peerReports.accept(report("b.1", 1, 0, 3));
    assertThat(peerReports.peerLoad("u")).isEqualTo(new PeerReport.Load(5, 500, 2, 25, 50));
    timer.advance(1_500);
    assertThat(peerReports.hasFreshReport()).isFalse();
    assertThat(peerReports.peerLoad("u")).isEqualTo(PeerReport.Load.NONE);
  }

  @Test
  void usageIsKeptAfterItsEntryStopsReporting() {
    peerReports.accept(report("a.1", 1, 5, 0));
    timer.advance(10_000);
    assertThat(peerReports.liveEntryIds()).isEmpty();
    assertThat(peerReports.usageByEntry(7)).containsKey("a.1");
    assertThat(peerReports.entriesWithClosed(6)).containsExactly("a.1");
    assertThat(peerReports.entriesWithClosed(7)).isEmpty();
  }
}
