package org.limpetvale.forward.place;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetvale.core.placement.PromptShape;

/**
 * Where this entry recently sent prompts with long shared parts, to report to the other entries.
 */
final class RecentPlacements {
  /** Minimum number of shared tokens of a reported prompt; fewer are cheap to process again. */
  private static final int MIN_SHARED_TOKENS = 256;

  /**
   * Time for which a placement is reported. It spans several reports because datagrams get lost.
   */
  private static final long REPORTED_MILLIS = 1_200;

  /**
   * Maximum number of placements in a report, so that it fits one datagram; the newest are kept.
   */
  private static final int MAX_REPORTED = 12;

  private final Deque<Placement> placements = new ArrayDeque<>();

  private record Placement(String upstreamId, List<String> partIds, long atMillis) {}

  /** Records a prompt that is sent now. */
  void note(String upstreamId, PromptShape shape, long nowMillis) {
    if (shape.sharedTokens() < MIN_SHARED_TOKENS) {
      return;
    }
    List<String> partIds = shape.sharedParts().stream().map(PromptShape.Part::id).toList();
    placements.addLast(new Placement(upstreamId, partIds, nowMillis));
    if (placements.size() > MAX_REPORTED) {
      placements.removeFirst();
    }
  }

  /** Returns the ids of the prompt parts to report, by upstream id. */
  Map<String, Set<String>> toReport(long nowMillis) {
    placements.removeIf(each -> nowMillis - each.atMillis() > REPORTED_MILLIS);
    Map<String, Set<String>> partIdsByUpstream = new HashMap<>();
    for (Placement each : placements) {
      partIdsByUpstream
          .computeIfAbsent(each.upstreamId(), id -> new HashSet<>())
          .addAll(each.partIds());
    }
    return partIdsByUpstream;
  }
}
