package org.limpetvale.forward.http;

import java.util.Map;
import java.util.Objects;

/**
 * An HTTP call of the daemon itself.
 *
 * @param method the method
 * @param path path and query
 * @param headers headers by name
 * @param body the body as JSON text; empty for none
 * @param timeoutMillis time after which the call is given up
 */
public record HttpCall(
    String method, String path, Map<String, String> headers, String body, long timeoutMillis) {
  public HttpCall {
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(path, "path is null");
    headers = Map.copyOf(Objects.requireNonNull(headers, "headers is null"));
    Objects.requireNonNull(body, "body is null");
  }

  /** Returns a call that only reads. */
  public static HttpCall get(String path, long timeoutMillis) {
    return new HttpCall("GET", path, Map.of(), "", timeoutMillis);
  }
}
