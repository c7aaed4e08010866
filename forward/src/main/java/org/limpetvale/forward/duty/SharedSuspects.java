package org.limpetvale.forward.duty;

import java.util.Map;
import java.util.Set;
import org.limpetvale.core.crash.PartReport;

/**
 * Requests and prompt parts suspected of crashing upstreams, as shared through the entries' rows. A
 * row outlives the process that wrote it.
 */
public interface SharedSuspects {
  /**
   * Returns the upstream processes that this entry has seen crash, by request digest. Requests that
   * have been served since are left out.
   */
  Map<String, Set<String>> localCrashes();

  /**
   * Merges the crashes from the row of another entry or of an earlier process of this entry.
   *
   * @param writer id of the process that wrote the row
   * @param crashes upstream processes that it saw crash, by request digest
   */
  void mergeCrashes(String writer, Map<String, Set<String>> crashes);

  /** Returns what this entry tells the others of suspected prompt parts. */
  Map<String, PartReport> partReports();

  /**
   * Merges what the row of another entry or of an earlier process of this entry says of parts.
   *
   * @param writer id of the process that wrote the row
   */
  void mergeParts(String writer, Map<String, PartReport> parts);

  /** Returns an implementation that reports no crashes and ignores those of others. */
  static SharedSuspects none() {
    return new SharedSuspects() {
      @Override
      public Map<String, Set<String>> localCrashes() {
        return Map.of();
      }

      @Override
      public void mergeCrashes(String writer, Map<String, Set<String>> crashes) {
        // Crashes are ignored.
      }

      @Override
      public Map<String, PartReport> partReports() {
        return Map.of();
      }

      @Override
      public void mergeParts(String writer, Map<String, PartReport> parts) {
        // Parts are ignored.
      }
    };
  }
}
