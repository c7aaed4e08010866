package org.limpetvale.forward.duty;

import java.util.Map;

/** Requests that crash their upstreams, as an entry's row keeps them beyond its end. */
public interface SharedSuspects {
  /** Returns the crashes that this entry has seen by request; 0 for requests served since. */
  Map<String, Integer> toTell();

  /** Notes what another entry, or an earlier process of this one, has told. */
  void heard(String writer, Map<String, Integer> crashes);

  /** Returns a book that knows and takes nothing. */
  static SharedSuspects none() {
    return new SharedSuspects() {
      @Override
      public Map<String, Integer> toTell() {
        return Map.of();
      }

      @Override
      public void heard(String writer, Map<String, Integer> crashes) {
        // Nothing is kept.
      }
    };
  }
}
