package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Objects;

/**
 * A request that is ready to be served.
 *
 * @param head the request line and headers
 * @param body the body; a long one may still be arriving
 * @param arrivedMillis monotonic time at which the header was read
 */
public record IncomingRequest(HttpRequest head, RequestBody body, long arrivedMillis) {
  public IncomingRequest {
    Objects.requireNonNull(head, "head is null");
    Objects.requireNonNull(body, "body is null");
  }

  /** Returns the path without its query. */
  public String path() {
    String uri = head.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
