package org.limpetvale.forward.http;

import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request that the daemon sends on its own behalf.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers headers by name
 * @param body body as JSON text; empty for no body
 * @param timeoutMillis time after which the call is abandoned
 */
public record HttpCall(
    String method, String path, Map<String, String> headers, String body, long timeoutMillis) {
  public HttpCall {
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(path, "path is null");
    headers = Map.copyOf(Objects.requireNonNull(headers, "headers is null"));
    Objects.requireNonNull(body, "body is null");
  }

  /** Returns a GET request without headers and body. */
  public static HttpCall get(String path, long timeoutMillis) {
    return new HttpCall("GET", path, Map.of(), "", timeoutMillis);
  }
}
