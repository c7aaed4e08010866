package org.limpetvale.core.fleet;

import java.util.Objects;

/**
 * An upstream as it describes itself.
 *
 * @param id its id
 * @param service service that it belongs to
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots requests that it runs at the same time
 * @param draining whether it takes no new requests
 * @param startedMillis time of its start in milliseconds since the epoch; 0 when unknown
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

  /** Tells whether another description is of the same process at the same address. */
  public boolean isSameProcess(Upstream other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && port == other.port
        && host.equals(other.host);
  }
}
