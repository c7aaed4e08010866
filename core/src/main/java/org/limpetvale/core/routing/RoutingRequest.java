package org.limpetvale.core.routing;

import java.util.Objects;

/**
 * The properties of a request that routing depends on.
 *
 * @param zone availability zone of the entry
 * @param prefixHash hash of the prompt prefix; 0 if there is none
 * @param sequenceNumber sequence number of the request at this entry, used for round robin and to
 *     break ties
 */
public record RoutingRequest(String zone, long prefixHash, long sequenceNumber) {
  public RoutingRequest {
    Objects.requireNonNull(zone, "zone is null");
  }
}
