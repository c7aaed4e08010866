package org.limpetvale.forward.relay;

import java.util.Objects;

/** To which request of its connection a response belongs. */
sealed interface Attribution {
  /** An interim response, which the final one follows. */
  record Interim() implements Attribution {}

  /**
   * The response to the request in progress.
   *
   * @param identified whether it names that request's id; otherwise it is known by being the only
   *     request that the connection has carried
   */
  record Current(boolean identified) implements Attribution {}

  /** One more response to a request that the connection carried before and that was answered. */
  record Earlier() implements Attribution {}

  /**
   * A response of which nobody can tell to which request it belongs. So the one to the request in
   * progress cannot be told from it either, nor from any that follows on the connection.
   */
  record Unattributable(String cause) implements Attribution {
    public Unattributable {
      Objects.requireNonNull(cause, "cause is null");
    }
  }
}
