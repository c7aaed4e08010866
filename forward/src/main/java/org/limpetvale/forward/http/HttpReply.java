package org.limpetvale.forward.http;

import java.util.Objects;

/** The outcome of an HTTP call of the daemon itself. */
public sealed interface HttpReply {
  /**
   * An answer.
   *
   * @param status its status
   * @param body its body as text
   */
  record Answer(int status, String body) implements HttpReply {
    public Answer {
      Objects.requireNonNull(body, "body is null");
    }
  }

  /** The call was not sent. */
  record NotSent(String detail) implements HttpReply {}

  /** The call was sent and there is no answer; it may have been carried out. */
  record Lost(String detail) implements HttpReply {}
}
