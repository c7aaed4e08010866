package org.limpetvale.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which prompt parts, and which whole requests, crash upstreams.
 *
 * <p>A crash takes down all requests that run on the upstream, so most parts that stand in crashes
 * are sound. The decision looks for the fewest parts that explain all crashes: it takes the part
 * with the strongest evidence first, and what that part explains no longer speaks against others.
 */
final class PartBlocking {
  /** Number of crashes below which nothing is blocked. */
  static final int MIN_CRASHES = 3;

  /** What speaks against a part before it is blocked. */
  private record Threshold(
      int crashes, int requests, int afterLoss, int unexplained, long sinceKnownMillis) {
    boolean isReachedBy(PartCandidate candidate, long nowMillis) {
      return candidate.crashes().size() >= crashes
          && candidate.distinctRequests() >= requests
          && candidate.crashesAfterLoss() >= afterLoss
          && nowMillis - candidate.knownMillis() >= sinceKnownMillis;
    }
  }

  /** For a part that no upstream has ever answered. */
  private static final Threshold NEW_PART = new Threshold(MIN_CRASHES, 2, 1, 1, 0);

  /** For a part that was answered before; its next complete answer needs time to arrive. */
  private static final Threshold FAMILIAR_PART = new Threshold(5, 3, 3, 3, 1_500);

  /**
   * For a whole request. All its crashes are under the same request, so two of them must follow a
   * known loss, and nothing else may explain them.
   */
  private static final Threshold REQUEST = new Threshold(MIN_CRASHES, 1, 2, MIN_CRASHES, 0);

  /** New parts first, then those that explain most crashes by fewest requests. */
  private static final Comparator<PartCandidate> STRONGEST_FIRST =
      Comparator.comparing(PartCandidate::familiar)
          .thenComparing(candidate -> -candidate.score())
          .thenComparing(candidate -> -candidate.depth())
          .thenComparing(PartCandidate::part);

  private PartBlocking() {}

  /** Returns the parts that are to be blocked. */
  static List<PartCandidate> blocked(Collection<PartCandidate> candidates, long nowMillis) {
    Set<String> explained = new HashSet<>();
    List<PartCandidate> blocked = new ArrayList<>();
    candidates.stream()
        .filter(candidate -> threshold(candidate).isReachedBy(candidate, nowMillis))
        .sorted(STRONGEST_FIRST)
        .forEach(
            candidate -> {
              int unexplained = candidate.crashesOutside(explained);
              if (unexplained >= threshold(candidate).unexplained()) {
                blocked.add(candidate);
                explained.addAll(candidate.crashes().keySet());
              }
            });
    return blocked;
  }

  private static Threshold threshold(PartCandidate candidate) {
    if (RequestKey.isRequest(candidate.part())) {
      return REQUEST;
    }
    return candidate.familiar() ? FAMILIAR_PART : NEW_PART;
  }
}
