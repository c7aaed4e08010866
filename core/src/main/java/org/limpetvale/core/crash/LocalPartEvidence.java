package org.limpetvale.core.crash;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The crashes that this entry holds against a prompt part.
 *
 * @param crashes the crashes, by process
 * @param depth deepest position of the part in its prompts
 * @param expiresMillis time at which they are forgotten
 */
record LocalPartEvidence(Map<String, PartCrash> crashes, int depth, long expiresMillis) {
  private static final int MAX_CRASHES = 32;

  static final LocalPartEvidence NONE = new LocalPartEvidence(Map.of(), 0, 0);

  /** Returns the evidence with another crash, kept until a time at least. */
  LocalPartEvidence with(PartCrash crash, int newDepth, long newExpiresMillis) {
    Map<String, PartCrash> merged = new LinkedHashMap<>(crashes);
    if (merged.size() < MAX_CRASHES || merged.containsKey(crash.process())) {
      merged.merge(crash.process(), crash, PartCrash::add);
    }
    return new LocalPartEvidence(merged, Math.max(depth, newDepth), expiresMillis)
        .keptUntil(newExpiresMillis);
  }

  /** Returns the evidence without the crash of a process, which did not happen. */
  LocalPartEvidence without(String process) {
    if (!crashes.containsKey(process)) {
      return this;
    }
    Map<String, PartCrash> others = new LinkedHashMap<>(crashes);
    others.remove(process);
    return new LocalPartEvidence(others, depth, expiresMillis);
  }

  /** Returns the evidence, kept until a time at least. */
  LocalPartEvidence keptUntil(long millis) {
    return new LocalPartEvidence(crashes, depth, Math.max(expiresMillis, millis));
  }

  /** Returns the evidence as reported to other entries. */
  PartReport toReport(long served, int maxCrashes) {
    List<PartCrash> newest = List.copyOf(crashes.values());
    int skip = Math.max(0, newest.size() - maxCrashes);
    return new PartReport(depth, served, newest.subList(skip, newest.size()));
  }
}
