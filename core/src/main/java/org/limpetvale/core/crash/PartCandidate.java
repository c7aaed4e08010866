package org.limpetvale.core.crash;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * All that is known of a suspected prompt part.
 *
 * @param part id of the part
 * @param depth position in its prompts, counted from 0
 * @param familiar whether the part was served before, or this entry cannot tell
 * @param knownMillis time since when a loss of a request with the part has been known
 * @param crashes crashes on requests with the part since it was last served, by process
 */
record PartCandidate(
    String part, int depth, boolean familiar, long knownMillis, Map<String, PartCrash> crashes) {
  PartCandidate {
    Objects.requireNonNull(part, "part is null");
    crashes = Map.copyOf(crashes);
  }

  int distinctRequests() {
    Set<String> requests = new HashSet<>();
    crashes.values().forEach(crash -> requests.add(crash.request()));
    return requests.size();
  }

  /**
   * Returns how well the part explains its crashes: a sound part that many requests contain is in
   * many crashes, but loses many requests in each.
   */
  double score() {
    int lost = crashes.values().stream().mapToInt(crash -> Math.max(1, crash.lostRequests())).sum();
    return (double) crashes.size() * crashes.size() / Math.max(1, lost);
  }

  int crashesAfterLoss() {
    return (int) crashes.values().stream().filter(PartCrash::sentAfterLoss).count();
  }

  /** Returns the number of crashes of processes that are not in a set. */
  int crashesOutside(Set<String> processes) {
    return (int) crashes.keySet().stream().filter(each -> !processes.contains(each)).count();
  }
}
