package org.limpetvale.core.crash;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * What one entry knows of a prompt part, or a whole request, that is suspected of crashing
 * upstreams.
 *
 * @param depth position of the part in its prompts, counted from 0; the deepest one seen
 * @param served {@link #UNKNOWN}, {@link #NEVER_SERVED}, {@link #SERVED_BEFORE}, or a number that
 *     rises each time that the entry has a complete answer to a request with the part
 * @param crashes crashes that the entry saw since the part was last served, one a process
 */
public record PartReport(int depth, long served, List<PartCrash> crashes) {
  /** The entry has just started and cannot tell new parts from others. */
  public static final long UNKNOWN = -2;

  /** The entry knows of no complete answer to a request with the part. */
  public static final long NEVER_SERVED = -1;

  /** The entry had complete answers to requests with the part before it was suspected. */
  public static final long SERVED_BEFORE = 0;

  public PartReport {
    crashes = List.copyOf(Objects.requireNonNull(crashes, "crashes is null"));
  }

  /** Returns a report with the crashes of two reports of one entry. */
  static PartReport union(PartReport first, PartReport second) {
    Map<String, PartCrash> crashes = new LinkedHashMap<>();
    first.crashes.forEach(crash -> crashes.put(crash.process(), crash));
    second.crashes.forEach(crash -> crashes.merge(crash.process(), crash, PartCrash::latest));
    return new PartReport(
        Math.max(first.depth, second.depth),
        Math.max(first.served, second.served),
        List.copyOf(crashes.values()));
  }

  PartReport withoutCrashes() {
    return new PartReport(depth, served, List.of());
  }

  /** Returns the report without some of its crashes. */
  PartReport withoutCrashes(Predicate<PartCrash> obsolete) {
    return new PartReport(depth, served, crashes.stream().filter(obsolete.negate()).toList());
  }
}
