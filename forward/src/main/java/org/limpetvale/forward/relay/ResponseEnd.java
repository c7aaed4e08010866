package org.limpetvale.forward.relay;

import java.util.Optional;

/**
 * What is known about the end of a response's body. All that completes a response needs a {@link
 * Complete}, which only {@link #of} gives.
 */
sealed interface ResponseEnd {
  /** The end of a body of which no part is known to be missing. */
  enum Complete implements ResponseEnd {
    /** A length, a last chunk or a status without a body marks the end. */
    FRAMED,
    /** The upstream closed the connection in order; nothing else marks the end. */
    CLOSED_BY_UPSTREAM
  }

  /** The end of a body that is not whole. */
  record BrokenOff(ResponseListener.FailureReason reason, String detail) implements ResponseEnd {}

  /** What ended the body. */
  enum Signal {
    /** A length, a last chunk or a status without a body. */
    FRAMING,
    /** An orderly close by the upstream. */
    UPSTREAM_CLOSE,
    /**
     * An orderly close of a success by an upstream that had not yet taken the whole request. It may
     * have been closed by a failure as well.
     */
    CLOSE_WITHIN_REQUEST,
    /** Any other end of the connection, such as one after a failed write. */
    CONNECTION_END
  }

  /**
   * Returns what is known about the end of a body.
   *
   * @param signal what ended it
   * @param events the progress of its events; empty if it is not a successful event stream
   * @param mayBeEmpty whether a stream without any event may be whole
   */
  static ResponseEnd of(Signal signal, Optional<EventStreamScanner> events, boolean mayBeEmpty) {
    if (signal == Signal.FRAMING && events.isPresent() && events.get().isPlain()) {
      return Complete.FRAMED;
    }
    if (events.isPresent() && !events.get().isBetweenEvents()) {
      return new BrokenOff(reasonOf(signal), "the stream ended within an event: " + signal);
    }
    if (signal == Signal.FRAMING) {
      return Complete.FRAMED;
    }
    if (signal == Signal.CONNECTION_END) {
      return new BrokenOff(reasonOf(signal), "the connection ended before the response");
    }
    if (signal == Signal.CLOSE_WITHIN_REQUEST) {
      return new BrokenOff(reasonOf(signal), "the upstream closed within the request");
    }
    if (events.isPresent() && events.get().events() == 0 && !mayBeEmpty) {
      return new BrokenOff(reasonOf(signal), "the stream ended before its first event: " + signal);
    }
    return Complete.CLOSED_BY_UPSTREAM;
  }

  private static ResponseListener.FailureReason reasonOf(Signal signal) {
    return signal == Signal.FRAMING
        ? ResponseListener.FailureReason.SPOILED
        : ResponseListener.FailureReason.CONNECTION_LOST;
  }
}
