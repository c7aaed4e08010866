package org.limpetvale.core.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A route of requests to services.
 *
 * @param name name of the route
 * @param host host that it belongs to, in lower case
 * @param prefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetLatencyMillis latency target; of a stream, up to its first event
 * @param targetGapMillis longest pause between events of a stream; 0 for other kinds
 * @param priority priority, 0 the highest
 * @param splits services with their shares; never empty
 * @param maxAttempts upstreams that one request may be sent to
 * @param open whether the route needs no key
 * @param resumable whether a broken stream may go on at another upstream
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
    boolean resumable) {

  /** What may be repeated on a route. */
  public enum Kind {
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING
  }

  /**
   * A service's share of a route.
   *
   * @param service name of the service
   * @param weight weight, 0 for none
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
    splits = List.copyOf(Objects.requireNonNull(splits, "splits is null"));
  }

  /** Tells whether a request that may have run may be sent again. */
  public boolean isRetryable() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAMING && resumable);
  }

  /**
   * Chooses a service by weight.
   *
   * @param draw a number from 0 inclusive to 1 exclusive
   * @return the service's name
   */
  public String chooseService(double draw) {
    double total = splits.stream().mapToDouble(Split::weight).sum();
    double left = draw * total;
    for (Split split : splits) {
      left -= split.weight();
      if (left < 0) {
        return split.service();
      }
    }
    return splits.getLast().service();
  }
}
