package org.limpetvale.forward.spi;

import java.util.Objects;
import java.util.Optional;

/**
 * What an upstream's answer says in its header.
 *
 * @param requestId id of the request that it answers; empty text when it has none
 * @param signed whether it bears the upstream's signature
 * @param notExecuted whether the upstream says that it did not run the request
 * @param load the upstream's load, if it tells it
 */
public record ResponseHead(
    String requestId, boolean signed, boolean notExecuted, Optional<Load> load) {

  /**
   * An upstream's load at the time of its answer.
   *
   * @param running requests that it runs
   * @param waiting requests that wait there
   * @param slots requests that it runs at the same time
   */
  public record Load(int running, int waiting, int slots) {}

  public ResponseHead {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(load, "load is null");
  }
}
