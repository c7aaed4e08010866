package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * The load of an upstream as known to an entry when it places a request.
 *
 * @param upstream the upstream
 * @param ownRequests requests of this entry that the upstream has not answered in full
 * @param otherRequests requests of other entries at the upstream, as last reported
 * @param pendingPromptTokens prompt tokens that the upstream has yet to read, for requests without
 *     a first event
 * @param ownPendingPromptTokens pending prompt tokens of this entry's requests
 * @param tightStreams streams with a short gap target at the upstream
 * @param cachedTokens tokens of the request's prompt that are expected in the upstream's cache
 * @param affinityRank rank of the upstream for the request's prefix in the preference order that
 *     all entries share; 0 is the first
 * @param relativeSpeed speed relative to the usual one of the service's upstreams, which is 1;
 *     above 1 for a faster machine
 * @param failureRate fraction of recent requests that failed
 * @param unresponsive whether the upstream has left requests unanswered for longer than its peers
 *     ever do
 */
public record UpstreamLoad(
    Upstream upstream,
    int ownRequests,
    int otherRequests,
    int pendingPromptTokens,
    int ownPendingPromptTokens,
    int tightStreams,
    int cachedTokens,
    int affinityRank,
    double relativeSpeed,
    double failureRate,
    boolean unresponsive) {
  public UpstreamLoad {
    Objects.requireNonNull(upstream, "upstream is null");
  }

  /** Returns the number of prompt tokens that the upstream would have to read. */
  public int uncachedTokens(int promptTokens) {
    return Math.max(0, promptTokens - cachedTokens);
  }

  /** Returns the number of requests at the upstream, from all entries. */
  public int totalRequests() {
    return ownRequests + otherRequests;
  }
}
