package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Optional;
import org.limpetvale.forward.accept.ProblemResponses;
import org.limpetvale.forward.accept.ResponseWriter;

/**
 * The response as the caller sees it: one header, and content that may come from several upstreams
 * in turn when an interrupted stream is resumed.
 */
final class CallerResponse {
  private final ResponseWriter responseWriter;
  private final HttpMethod method;
  private Optional<String> contentType = Optional.empty();
  private boolean started;
  private boolean resumable;

  CallerResponse(ResponseWriter responseWriter, HttpMethod method) {
    this.responseWriter = responseWriter;
    this.method = method;
  }

  /** Returns whether the header has been sent to the caller. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether another upstream may still start or continue the response. */
  boolean mayUseAnotherUpstream() {
    return !started || resumable;
  }

  /**
   * Returns whether a response may continue the one already started. A successful response with
   * another content type is not part of the same stream and must not be appended to it.
   */
  boolean canContinueWith(HttpResponse response) {
    return resumable
        && StatusCodes.isSuccess(response.status().code())
        && contentType.equals(contentTypeOf(response));
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
    resumable = mayResume && StatusCodes.isSuccess(response.status().code());
    contentType = contentTypeOf(response);
    HttpHeaders headers = HopByHopHeaders.endToEnd(response.headers());
    if (resumable) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
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
    write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
  }

  private void write(HttpResponse response) {
    if (!HttpUtil.isContentLengthSet(response) && !method.equals(HttpMethod.HEAD)) {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    responseWriter.writeHead(response);
  }

  private static Optional<String> contentTypeOf(HttpResponse response) {
    return Optional.ofNullable(response.headers().get(HttpHeaderNames.CONTENT_TYPE))
        .map(HttpUtil::getMimeType)
        .map(CharSequence::toString)
        .map(type -> type.toLowerCase(Locale.ROOT));
  }
}
