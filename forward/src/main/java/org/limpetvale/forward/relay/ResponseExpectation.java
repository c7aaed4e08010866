package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.fleet.Route;

/**
 * What a request says about its response.
 *
 * @param requestId the id that the response repeats; empty if the request has none
 * @param streaming whether the route's successful responses are event streams
 * @param resumedAfter id of the event that a resumed stream goes on behind
 * @param continuesStream whether the caller asks for the events after a given one, so that none may
 *     be left
 */
record ResponseExpectation(
    String requestId, boolean streaming, Optional<String> resumedAfter, boolean continuesStream) {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String LAST_EVENT_ID = "Last-Event-Id";

  ResponseExpectation {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(resumedAfter, "resumedAfter is null");
  }

  /** Returns what a caller's request on a route says about its response. */
  static ResponseExpectation of(
      String requestId, Route route, Optional<String> resumedAfter, HttpRequest request) {
    boolean streaming = route.kind() == Route.Kind.STREAMING;
    boolean continuesStream = request.headers().contains(LAST_EVENT_ID);
    return new ResponseExpectation(requestId, streaming, resumedAfter, continuesStream);
  }

  /**
   * Returns whether a response is a successful event stream. One without a content type is taken
   * for what the route's responses are.
   */
  boolean isEventStream(HttpResponse response) {
    if (!StatusCode.of(response).isSuccess()) {
      return false;
    }
    String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return type.isEmpty()
        ? streaming
        : type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
  }
}
