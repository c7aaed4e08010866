package org.limpetvale.core.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A route that maps requests to services by host and path prefix.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param prefix path prefix; begins and ends with a slash
 * @param kind determines which requests may be retried
 * @param timeoutMillis maximum time that a caller waits
 * @param targetLatencyMillis latency target; for streams, until the first event
 * @param targetGapMillis target for the gap between events of a stream; 0 for other kinds
 * @param priority priority; 0 is the highest
 * @param splits traffic split among services; never empty
 * @param maxAttempts maximum number of upstreams to which a request is sent
 * @param open whether requests need no API key
 * @param resumable whether an interrupted stream may be resumed at another upstream
 * @param allowedRegions regions in which its requests may be processed
 */
public record Route(
    String name,
    String host,
    String prefix,
    Kind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    long targetGapMillis,
    int priority,
    List<Split> splits,
    int maxAttempts,
    boolean open,
    boolean resumable,
    AllowedRegions allowedRegions) {

  /** Creates a route whose requests may be processed in all regions. */
  public Route(
      String name,
      String host,
      String prefix,
      Kind kind,
      long timeoutMillis,
      long targetLatencyMillis,
      long targetGapMillis,
      int priority,
      List<Split> splits,
      int maxAttempts,
      boolean open,
      boolean resumable) {
    this(
        name,
        host,
        prefix,
        kind,
        timeoutMillis,
        targetLatencyMillis,
        targetGapMillis,
        priority,
        splits,
        maxAttempts,
        open,
        resumable,
        AllowedRegions.ALL);
  }

  /** Determines which requests of a route may be retried. */
  public enum Kind {
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING
  }

  /**
   * A service's share of a route's traffic.
   *
   * @param service name of the service
   * @param weight relative weight; 0 for no traffic
   */
  public record Split(String service, double weight) {
    public Split {
      Objects.requireNonNull(service, "service is null");
    }
  }

  public Route {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(prefix, "prefix is null");
    Objects.requireNonNull(kind, "kind is null");
    Objects.requireNonNull(allowedRegions, "allowedRegions is null");
    splits = List.copyOf(Objects.requireNonNull(splits, "splits is null"));
  }

  /** Returns whether a request may be sent again after it may already have been executed. */
  public boolean isRetryable() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAMING && resumable);
  }

  /**
   * Chooses a service by weighted random selection.
   *
   * @param draw random number from 0 (inclusive) to 1 (exclusive)
   * @return name of the service
   */
  public String chooseService(double draw) {
    double total = splits.stream().mapToDouble(Split::weight).sum();
    double remaining = draw * total;
    for (Split split : splits) {
      remaining -= split.weight();
      if (remaining < 0) {
        return split.service();
      }
    }
    return splits.getLast().service();
  }
}
