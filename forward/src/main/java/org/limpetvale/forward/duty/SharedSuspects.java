package org.limpetvale.forward.duty;

import java.util.Map;
import java.util.Set;

/** Requests that crash their upstreams, as an entry's row keeps them beyond its end. */
public interface SharedSuspects {
  /**
   * Returns the upstream processes that this entry has seen crash, by request; none for requests
   * served since.
   */
  Map<String, Set<String>> localCrashes();

  /** Notes what the row of another entry, or of an earlier process of this one, tells. */
  void mergeCrashes(String writer, Map<String, Set<String>> crashes);

  /** Returns a book that knows and takes nothing. */
  static SharedSuspects none() {
    return new SharedSuspects() {
      @Override
      public Map<String, Set<String>> localCrashes() {
        return Map.of();
      }

      @Override
      public void mergeCrashes(String writer, Map<String, Set<String>> crashes) {
        // Nothing is kept.
      }
    };
  }
}
