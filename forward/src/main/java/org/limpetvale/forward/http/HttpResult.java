package org.limpetvale.forward.http;

import java.util.Map;
import java.util.Objects;

/** The result of an HTTP call of the daemon. */
public sealed interface HttpResult {
  /**
   * A response.
   *
   * @param status HTTP status code
   * @param headers first value of each header, by lower-case name
   * @param body body as text
   */
  record Response(int status, Map<String, String> headers, String body) implements HttpResult {
    public Response {
      headers = Map.copyOf(Objects.requireNonNull(headers, "headers is null"));
      Objects.requireNonNull(body, "body is null");
    }
  }

  /** The call was not sent, for instance because no connection could be made. */
  record NotSent(String detail) implements HttpResult {}

  /** The call was sent but no response was received; the server may have executed it. */
  record NoResponse(String detail) implements HttpResult {}
}
