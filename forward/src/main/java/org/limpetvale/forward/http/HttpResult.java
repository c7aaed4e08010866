package org.limpetvale.forward.http;

import java.util.Objects;

/** The result of an HTTP call of the daemon. */
public sealed interface HttpResult {
  /**
   * A response.
   *
   * @param status HTTP status code
   * @param body body as text
   */
  record Response(int status, String body) implements HttpResult {
    public Response {
      Objects.requireNonNull(body, "body is null");
    }
  }

  /** The call was not sent, for instance because no connection could be made. */
  record NotSent(String detail) implements HttpResult {}

  /** The call was sent but no response was received; the server may have executed it. */
  record NoResponse(String detail) implements HttpResult {}
}
