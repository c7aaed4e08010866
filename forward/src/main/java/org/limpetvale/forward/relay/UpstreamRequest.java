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

/** Creates the request to an upstream from the caller's request. */
final class UpstreamRequest {
  private UpstreamRequest() {}

  /**
   * Returns the request: method, path and body are unchanged, hop-by-hop headers are removed, and
   * the dialect's headers are set. It contains the body if that has arrived completely; otherwise
   * the body is sent separately.
   */
  static HttpRequest of(
      HeaderCodec dialect, IncomingRequest incoming, HeaderCodec.RequestMetadata grant) {
    HttpHeaders headers = HopByHopHeaders.endToEnd(incoming.head().headers());
    dialect.encodeRequest(headers, grant);
    return incoming.body().isFullyBuffered()
        ? withBody(incoming, headers)
        : withoutBody(incoming, headers);
  }

  private static HttpRequest withBody(IncomingRequest incoming, HttpHeaders headers) {
    byte[] body = incoming.body().bytes();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            incoming.head().method(),
            incoming.head().uri(),
            Unpooled.wrappedBuffer(body),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    if (body.length > 0 || declaresBody(incoming)) {
      HttpUtil.setContentLength(request, body.length);
    } else {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    return request;
  }

  private static HttpRequest withoutBody(IncomingRequest incoming, HttpHeaders headers) {
    HttpRequest request =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, incoming.head().method(), incoming.head().uri(), headers);
    if (!HttpUtil.isContentLengthSet(request)) {
      HttpUtil.setTransferEncodingChunked(request, true);
    }
    return request;
  }

  private static boolean declaresBody(IncomingRequest incoming) {
    HttpHeaders headers = incoming.head().headers();
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
