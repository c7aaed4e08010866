package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;

/**
 * The decoded headers of an upstream's response.
 *
 * @param requestIds the ids of requests that the response names, in order; normally one
 * @param signed whether the response carries the upstream's signature
 * @param notExecuted whether the upstream states that it did not execute the request
 * @param notice what the upstream states about itself
 */
public record ResponseHead(
    List<String> requestIds, boolean signed, boolean notExecuted, UpstreamNotice notice) {
  public ResponseHead {
    requestIds = List.copyOf(requestIds);
    Objects.requireNonNull(notice, "notice is null");
  }
}
