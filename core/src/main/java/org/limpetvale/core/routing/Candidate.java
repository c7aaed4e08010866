package org.limpetvale.core.routing;

import java.util.Objects;

/**
 * What an entry knows of one upstream.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param running requests that run there by the last report
 * @param queuedAhead requests of the same or a higher tier that wait there by the last report
 * @param sentSinceReport requests that this entry has sent since that report
 * @param capacity requests that can run at the same time
 * @param meanServiceMillis smoothed service time, in milliseconds
 * @param streamTokensPerSecond smoothed output of one stream, in tokens a second
 * @param firstTokenMillis smoothed time from dispatch to the first token, in milliseconds
 * @param available whether the upstream is up, connected and not leaving
 */
public record Candidate(
    String vm,
    String zone,
    int running,
    int queuedAhead,
    int sentSinceReport,
    int capacity,
    double meanServiceMillis,
    double streamTokensPerSecond,
    double firstTokenMillis,
    boolean available) {
  public Candidate {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(zone, "zone is null");
  }

  /** Returns the requests that stand at the upstream, as far as known. */
  int outstanding() {
    return running + queuedAhead + sentSinceReport;
  }
}
