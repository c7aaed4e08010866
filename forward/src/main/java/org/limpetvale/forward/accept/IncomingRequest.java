package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Objects;

/**
 * A request that is ready to be served.
 *
 * @param head the request line and headers
 * @param body the body; a long one may still be arriving
 * @param arrivedMillis monotonic time at which the header was read
 * @param mayOnlyBeRefused whether the request must not run, as its caller had been told before its
 *     turn that the connection closes
 */
public record IncomingRequest(
    HttpRequest head, RequestBody body, long arrivedMillis, boolean mayOnlyBeRefused) {
  public IncomingRequest {
    Objects.requireNonNull(head, "head is null");
    Objects.requireNonNull(body, "body is null");
  }

  /** Returns a request that may run. */
  static IncomingRequest of(HttpRequest head, RequestBody body, long arrivedMillis) {
    return new IncomingRequest(head, body, arrivedMillis, false);
  }

  /** Returns this request as one that came after its caller was told of the close. */
  IncomingRequest behindAnnouncedClose() {
    return new IncomingRequest(head, body, arrivedMillis, true);
  }

  /** Returns the path without its query. */
  public String path() {
    String uri = head.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
