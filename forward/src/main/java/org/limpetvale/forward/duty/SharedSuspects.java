package org.limpetvale.forward.duty;

import java.util.Map;
import java.util.Set;

/**
 * Requests suspected of crashing upstreams, as shared through the entries' rows. A row outlives the
 * process that wrote it.
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
    };
  }
}
