package org.limpetvale.core.fleet;

import java.util.Objects;

/**
 * An upstream, as described by its own registration.
 *
 * @param id id of the upstream
 * @param service name of the service that it belongs to
 * @param host IP address
 * @param port port
 * @param zone availability zone
 * @param slots maximum number of concurrently running requests
 * @param draining whether it accepts no new requests
 * @param startedMillis start time of its process, in milliseconds since the Unix epoch; 0 if
 *     unknown
 */
public record Upstream(
    String id,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean draining,
    long startedMillis) {
  public Upstream {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(zone, "zone is null");
  }

  /** Returns whether this and the other upstream are the same process at the same address. */
  public boolean isSameProcess(Upstream other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && port == other.port
        && host.equals(other.host);
  }
}
