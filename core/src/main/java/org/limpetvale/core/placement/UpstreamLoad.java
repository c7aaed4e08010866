package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * What an entry knows of an upstream when it places a request.
 *
 * @param upstream the upstream
 * @param ownRequests requests of this entry that it has not answered in full
 * @param otherRequests requests of other entries there, as last told by the upstream
 * @param pendingPromptTokens prompt tokens that it has yet to read, for requests without a first
 *     event
 * @param ownPendingPromptTokens the part of them that is this entry's
 * @param tightStreams streams there with a short gap target
 * @param cachedTokens tokens of the request's prompt that are expected in its cache
 * @param affinityRank its place in the order in which all entries prefer engines for the request's
 *     prefix, 0 the first
 * @param relativeSpeed its speed against its peers; 1 for the usual one
 * @param failureRate share of recent requests that it failed
 * @param unresponsive whether it has left requests unanswered for longer than its peers ever do
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

  /** Returns the tokens of the request's prompt that it would have to read. */
  public int uncachedTokens(int promptTokens) {
    return Math.max(0, promptTokens - cachedTokens);
  }

  /** Returns the requests there, of this entry and of others. */
  public int totalRequests() {
    return ownRequests + otherRequests;
  }
}
