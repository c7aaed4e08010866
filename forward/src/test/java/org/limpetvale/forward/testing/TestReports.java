package org.limpetvale.forward.testing;

import java.util.Map;
import org.limpetvale.forward.peer.PeerReport;

/** Creates peer reports for tests that need a few of their fields. */
public final class TestReports {
  private TestReports() {}

  /** Returns a report without content. */
  public static PeerReport empty(String writer, long number) {
    return of(writer, number, Map.of(), Map.of());
  }

  /** Returns a report of loads on upstreams and of limits heard from them. */
  public static PeerReport of(
      String writer,
      long number,
      Map<String, PeerReport.Load> loads,
      Map<String, PeerReport.Limit> limits) {
    return new PeerReport(
        writer,
        number,
        0,
        PeerReport.USAGE_OMITTED,
        Map.of(),
        loads,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        limits,
        Map.of(),
        0,
        0,
        0);
  }
}
