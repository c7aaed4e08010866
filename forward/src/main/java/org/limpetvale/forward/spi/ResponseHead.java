package org.limpetvale.forward.spi;

import java.util.Objects;

/**
 * The decoded headers of an upstream's response.
 *
 * @param requestId id of the request; an empty string if the response has none
 * @param signed whether the response carries the upstream's signature
 * @param notExecuted whether the upstream states that it did not execute the request
 * @param notice what the upstream states about itself
 */
public record ResponseHead(
    String requestId, boolean signed, boolean notExecuted, UpstreamNotice notice) {
  public ResponseHead {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(notice, "notice is null");
  }
}
