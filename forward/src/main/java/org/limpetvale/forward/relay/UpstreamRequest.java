package org.limpetvale.forward.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.limpetvale.forward.accept.RequestInput;
import org.limpetvale.forward.spi.RequestDialect;

/** Makes the request to an upstream out of the caller's. */
final class UpstreamRequest {
  private UpstreamRequest() {}

  /**
   * Returns the request: method, path and body unchanged, the headers without those of the caller's
   * connection and with those that the system sets.
   */
  static FullHttpRequest of(
      RequestDialect dialect, RequestInput input, RequestDialect.Grant grant) {
    HttpHeaders headers = HopHeaders.passedOn(input.head().headers());
    dialect.stamp(headers, grant);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            input.head().method(),
            input.head().uri(),
            Unpooled.wrappedBuffer(input.body()),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    if (input.body().length > 0 || carriesLength(input)) {
      HttpUtil.setContentLength(request, input.body().length);
    } else {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    return request;
  }

  private static boolean carriesLength(RequestInput input) {
    HttpHeaders headers = input.head().headers();
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
