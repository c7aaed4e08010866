package org.limpetvale.forward.place;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetvale.core.placement.PromptShape;

/** Where this entry has lately sent prompts with long shared parts, for the other entries. */
final class RecentPlacements {
  /** Shared tokens below which reading them again is not worth telling. */
  private static final int FEWEST_SHARED_TOKENS = 256;

  /** Time for which a placement is told, in several reports, as some are lost. */
  private static final long TOLD_MILLIS = 1_200;

  /** Placements that are told at a time, the newest, to keep a report in one datagram. */
  private static final int MOST_TOLD = 12;

  private final Deque<Placement> placements = new ArrayDeque<>();

  private record Placement(String upstreamId, List<String> partIds, long atMillis) {}

  /** Notes a prompt that is sent now. */
  void note(String upstreamId, PromptShape shape, long nowMillis) {
    if (shape.sharedTokens() < FEWEST_SHARED_TOKENS) {
      return;
    }
    List<String> partIds = shape.sharedParts().stream().map(PromptShape.Part::id).toList();
    placements.addLast(new Placement(upstreamId, partIds, nowMillis));
    if (placements.size() > MOST_TOLD) {
      placements.removeFirst();
    }
  }

  /** Returns the parts that are to be told, by upstream. */
  Map<String, Set<String>> toReport(long nowMillis) {
    placements.removeIf(each -> nowMillis - each.atMillis() > TOLD_MILLIS);
    Map<String, Set<String>> told = new HashMap<>();
    for (Placement each : placements) {
      told.computeIfAbsent(each.upstreamId(), id -> new HashSet<>()).addAll(each.partIds());
    }
    return told;
  }
}
