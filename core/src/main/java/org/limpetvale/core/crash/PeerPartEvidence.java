package org.limpetvale.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What another entry last reported of suspected prompt parts.
 *
 * @param reports its reports, by part
 * @param servedSeen the highest number of an answer that it reported, by part
 * @param atMillis when it reported last
 */
record PeerPartEvidence(
    Map<String, PartReport> reports, Map<String, Long> servedSeen, long atMillis) {
  private static final int MAX_SERVED_SEEN = 256;

  static final PeerPartEvidence NONE = new PeerPartEvidence(Map.of(), Map.of(), 0);

  PeerPartEvidence {
    reports = Map.copyOf(reports);
    servedSeen = Map.copyOf(servedSeen);
  }

  /** Returns the evidence after a newer report of the entry. */
  PeerPartEvidence replacedBy(Map<String, PartReport> newer, long nowMillis) {
    Map<String, Long> seen =
        new HashMap<>(servedSeen.size() < MAX_SERVED_SEEN ? servedSeen : Map.of());
    newer.forEach((part, report) -> seen.merge(part, report.served(), Math::max));
    return new PeerPartEvidence(newer, seen, nowMillis);
  }

  /** Returns the parts that a newer report states to have been served since the last one. */
  Set<String> newlyServed(Map<String, PartReport> newer) {
    Set<String> served = new HashSet<>();
    newer.forEach(
        (part, report) -> {
          long seen = servedSeen.getOrDefault(part, PartReport.SERVED_BEFORE);
          if (report.served() > Math.max(seen, PartReport.SERVED_BEFORE)) {
            served.add(part);
          }
        });
    return served;
  }

  /**
   * Returns the evidence with the crashes of the entry's stored row, which may be older than its
   * last report, but for parts that it has served since.
   */
  Map<String, PartReport> mergedWithRow(Map<String, PartReport> row) {
    Map<String, PartReport> merged = new HashMap<>(reports);
    row.forEach(
        (part, report) -> {
          long seen = servedSeen.getOrDefault(part, PartReport.SERVED_BEFORE);
          if (seen <= Math.max(PartReport.SERVED_BEFORE, report.served())) {
            merged.merge(part, report, PartReport::union);
          }
        });
    return merged;
  }

  /** Returns the evidence without the crashes of a process, which did not happen. */
  PeerPartEvidence withoutProcess(String process) {
    Map<String, PartReport> others = new HashMap<>(reports);
    others.replaceAll(
        (part, report) -> report.withoutCrashes(crash -> crash.process().equals(process)));
    return new PeerPartEvidence(others, servedSeen, atMillis);
  }

  /** Returns the evidence without the crashes of a part that was served since. */
  PeerPartEvidence withoutCrashes(String part) {
    if (!reports.containsKey(part)) {
      return this;
    }
    Map<String, PartReport> others = new HashMap<>(reports);
    others.computeIfPresent(part, (id, report) -> report.withoutCrashes());
    return new PeerPartEvidence(others, servedSeen, atMillis);
  }
}
