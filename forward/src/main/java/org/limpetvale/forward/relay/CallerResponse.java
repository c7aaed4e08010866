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
 * The answer as its caller sees it: one header, and content that may come from several upstreams in
 * turn, where a stream that broke off goes on at another.
 */
final class CallerResponse {
  private final ResponseWriter responseWriter;
  private final HttpMethod method;
  private Optional<String> contentType = Optional.empty();
  private boolean started;
  private boolean resumable;

  CallerResponse(ResponseWriter link, HttpMethod method) {
    this.responseWriter = link;
    this.method = method;
  }

  /** Tells whether the caller has been sent a header. */
  boolean isStarted() {
    return started;
  }

  /** Tells whether another upstream may still serve the request: begin it, or go on with it. */
  boolean mayUseAnotherUpstream() {
    return !started || resumable;
  }

  /**
   * Tells whether an answer carries on what the caller has been sent: what succeeds with content of
   * another type is no part of the same stream, and must not be joined to it.
   */
  boolean canContinueWith(HttpResponse answer) {
    return resumable
        && StatusCodes.isSuccess(answer.status().code())
        && contentType.equals(contentTypeOf(answer));
  }

  /**
   * Sends the caller the header.
   *
   * @param answer the upstream's
   * @param mayResume whether another upstream may go on with it if it succeeds; its length is open
   *     then
   */
  void start(HttpResponse answer, boolean mayResume) {
    started = true;
    resumable = mayResume && StatusCodes.isSuccess(answer.status().code());
    contentType = contentTypeOf(answer);
    HttpHeaders headers = HopByHopHeaders.endToEnd(answer.headers());
    if (resumable) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
  }

  /**
   * Sends the caller the header of an upstream's refusal, with a time to come back if it has none.
   */
  void startRefusal(HttpResponse answer, long retryAfterMillis) {
    started = true;
    HttpHeaders headers = HopByHopHeaders.endToEnd(answer.headers());
    if (!headers.contains(HttpHeaderNames.RETRY_AFTER)) {
      headers.set(HttpHeaderNames.RETRY_AFTER, ProblemResponses.formatSeconds(retryAfterMillis));
    }
    write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
  }

  private void write(HttpResponse passed) {
    if (!HttpUtil.isContentLengthSet(passed) && !method.equals(HttpMethod.HEAD)) {
      HttpUtil.setTransferEncodingChunked(passed, true);
    }
    responseWriter.writeHead(passed);
  }

  private static Optional<String> contentTypeOf(HttpResponse answer) {
    return Optional.ofNullable(answer.headers().get(HttpHeaderNames.CONTENT_TYPE))
        .map(HttpUtil::getMimeType)
        .map(CharSequence::toString)
        .map(type -> type.toLowerCase(Locale.ROOT));
  }
}
