package org.limpetvale.forward.http;

import java.util.Objects;

/** The result of an HTTP call of the daemon. */
public sealed interface HttpReply {
  /**
   * A response.
   *
   * @param status HTTP status code
   * @param body body as text
   */
  record Answer(int status, String body) implements HttpReply {
    public Answer {
      Objects.requireNonNull(body, "body is null");
    }
  }

  /** The call was not sent, for instance because no connection could be made. */
  record NotSent(String detail) implements HttpReply {}

  /** The call was sent but no response was received; the server may have executed it. */
  record Lost(String detail) implements HttpReply {}
}
