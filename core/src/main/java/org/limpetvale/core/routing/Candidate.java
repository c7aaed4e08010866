package org.limpetvale.core.routing;

import java.util.Objects;

/**
 * The state of one upstream as known to an entry.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param running running requests according to the last report
 * @param queuedAhead queued requests of the same or a higher tier according to the last report
 * @param sentSinceReport requests sent by this entry since the last report
 * @param capacity maximum number of concurrent requests
 * @param meanServiceMillis smoothed service time, in milliseconds
 * @param streamTokensPerSecond smoothed output rate of one stream, in tokens per second
 * @param firstTokenMillis smoothed time from dispatch to the first token, in milliseconds
 * @param available whether the upstream is up, connected and not draining
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

  /** Returns the number of outstanding requests at the upstream, as far as known. */
  int outstanding() {
    return running + queuedAhead + sentSinceReport;
  }
}
