package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.accept.ProblemResponses;
import org.limpetvale.forward.accept.ResponseWriter;

/**
 * The response as the caller sees it: one header, and content that may come from several upstreams
 * in turn when an interrupted stream is resumed.
 */
final class CallerResponse {
  private final ResponseWriter responseWriter;
  private final IncomingRequest request;
  private Optional<Representation> representation = Optional.empty();
  private boolean started;
  private boolean resumable;

  /** Whether only the end of the caller's connection marks the end of the body. */
  private boolean endsWithConnection;

  CallerResponse(ResponseWriter responseWriter, IncomingRequest request) {
    this.responseWriter = responseWriter;
    this.request = request;
  }

  /** Returns whether the header has been sent to the caller. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether another upstream may still start or continue the response. */
  boolean mayUseAnotherUpstream() {
    return !started || resumable;
  }

  /** Records that no other upstream can go on behind what has been sent to the caller. */
  void preventResumption() {
    resumable = false;
  }

  /**
   * Returns whether a response may continue the one already started. A response with another
   * status, content type or encoding is not part of the same stream and must not be appended to it.
   */
  boolean canContinueWith(HttpResponse response) {
    return resumable && representation.equals(Optional.of(Representation.of(response)));
  }

  /**
   * Sends the header to the caller.
   *
   * @param response the upstream's response
   * @param mayResume whether another upstream may continue a successful response; its
   *     Content-Length is removed then
   */
  void start(HttpResponse response, boolean mayResume) {
    started = true;
    resumable = mayResume && StatusCode.of(response).isSuccess();
    representation = Optional.of(Representation.of(response));
    HttpHeaders headers = HopByHopHeaders.endToEnd(response.headers());
    if (resumable) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    write(response, headers);
  }

  /**
   * Sends the header of an upstream's refusal to the caller, adding Retry-After if it is missing.
   */
  void startRefusal(HttpResponse response, long retryAfterMillis) {
    started = true;
    HttpHeaders headers = HopByHopHeaders.endToEnd(response.headers());
    if (!headers.contains(HttpHeaderNames.RETRY_AFTER)) {
      headers.set(HttpHeaderNames.RETRY_AFTER, ProblemResponses.formatSeconds(retryAfterMillis));
    }
    write(response, headers);
  }

  /**
   * Writes the header with the framing of the upstream's response. A body that ends with its
   * connection does so for the caller too: a last chunk would state that it is whole.
   */
  private void write(HttpResponse upstreamResponse, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstreamResponse.status(), headers);
    if (mayHaveBody(response) && !HttpUtil.isContentLengthSet(response)) {
      endsWithConnection = !acceptsChunks() || !isFramed(upstreamResponse) && canDetectReset();
      HttpUtil.setTransferEncodingChunked(response, !endsWithConnection);
    }
    responseWriter.writeHead(response, endsWithConnection);
  }

  private static boolean isFramed(HttpResponse response) {
    return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
  }

  /**
   * Returns whether the caller would notice that its connection is reset. One that still sends its
   * request may learn of the reset while it writes, and then read an end of the connection that
   * looks orderly.
   */
  private boolean canDetectReset() {
    return request.body().hasArrived();
  }

  private boolean mayHaveBody(HttpResponse response) {
    int status = response.status().code();
    return !request.head().method().equals(HttpMethod.HEAD)
        && status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code();
  }

  private boolean acceptsChunks() {
    return request.head().protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
  }

  /** Returns whether the framing that the caller was sent states no more than this end does. */
  boolean canEndWith(ResponseEnd.Complete end) {
    return end == ResponseEnd.Complete.FRAMED || endsWithConnection;
  }

  /** Completes the response with an end that its framing can state. */
  void finish(ResponseEnd.Complete end) {
    if (!canEndWith(end)) {
      throw new IllegalStateException("the framing states more than " + end);
    }
    responseWriter.finish();
  }
}
