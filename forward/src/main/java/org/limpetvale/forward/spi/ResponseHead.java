package org.limpetvale.forward.spi;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.limit.StatedLimit;

/**
 * The decoded headers of an upstream's response.
 *
 * @param requestId id of the request; an empty string if the response has none
 * @param signed whether the response carries the upstream's signature
 * @param notExecuted whether the upstream states that it did not execute the request
 * @param load the upstream's load, if the response reports it
 * @param limit the request rate that the upstream accepts from all entries together
 */
public record ResponseHead(
    String requestId, boolean signed, boolean notExecuted, Optional<Load> load, StatedLimit limit) {

  /**
   * An upstream's load at the time of its response.
   *
   * @param running number of running requests
   * @param waiting number of queued requests
   * @param slots maximum number of requests that run concurrently
   */
  public record Load(int running, int waiting, int slots) {}

  public ResponseHead {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(limit, "limit is null");
  }
}
