package org.limpetvale.forward.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.spi.HeaderCodec;

/** Makes the request to an upstream out of the caller's. */
final class UpstreamRequest {
  private UpstreamRequest() {}

  /**
   * Returns the request: method, path and body unchanged, the headers without those of the caller's
   * connection and with those that the system sets. It holds the body if that has arrived;
   * otherwise the body follows.
   */
  static HttpRequest of(
      HeaderCodec dialect, IncomingRequest input, HeaderCodec.RequestMetadata grant) {
    HttpHeaders headers = HopByHopHeaders.endToEnd(input.head().headers());
    dialect.encodeRequest(headers, grant);
    return input.body().isFullyBuffered() ? withBody(input, headers) : withoutBody(input, headers);
  }

  private static HttpRequest withBody(IncomingRequest input, HttpHeaders headers) {
    byte[] body = input.body().bytes();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            input.head().method(),
            input.head().uri(),
            Unpooled.wrappedBuffer(body),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    if (body.length > 0 || declaresBody(input)) {
      HttpUtil.setContentLength(request, body.length);
    } else {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    return request;
  }

  private static HttpRequest withoutBody(IncomingRequest input, HttpHeaders headers) {
    HttpRequest request =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, input.head().method(), input.head().uri(), headers);
    if (!HttpUtil.isContentLengthSet(request)) {
      HttpUtil.setTransferEncodingChunked(request, true);
    }
    return request;
  }

  private static boolean declaresBody(IncomingRequest input) {
    HttpHeaders headers = input.head().headers();
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
