package org.limpetvale.forward.duty;

import java.util.Map;
import org.limpetvale.core.crash.PartReport;

/**
 * Requests and prompt parts suspected of crashing upstreams, as shared through the entries' rows. A
 * row outlives the process that wrote it.
 */
public interface SharedSuspects {
  /** Returns what this entry tells the others of its suspects. */
  Map<String, PartReport> suspectReports();

  /**
   * Merges what the row of another entry or of an earlier process of this entry says.
   *
   * @param writer id of the process that wrote the row
   */
  void mergeSuspects(String writer, Map<String, PartReport> reports);

  /** Returns an implementation that has no suspects and ignores those of others. */
  static SharedSuspects none() {
    return new SharedSuspects() {
      @Override
      public Map<String, PartReport> suspectReports() {
        return Map.of();
      }

      @Override
      public void mergeSuspects(String writer, Map<String, PartReport> reports) {
        // Suspects are ignored.
      }
    };
  }
}
