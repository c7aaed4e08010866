package org.limpetvale.core.routing;

import java.util.Objects;

/**
 * What routing looks at in a request.
 *
 * @param zone zone of the entry
 * @param prefixHash hash of the prompt's beginning; 0 when there is none
 * @param sequenceNumber number of the request at this entry, for the turn of round robin and for
 *     ties
 */
public record RoutingRequest(String zone, long prefixHash, long sequenceNumber) {
  public RoutingRequest {
    Objects.requireNonNull(zone, "zone is null");
  }
}
