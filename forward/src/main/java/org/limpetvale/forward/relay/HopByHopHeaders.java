package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection. */
final class HopByHopHeaders {
  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /** Returns a copy of the headers without the hop-by-hop ones and those listed in Connection. */
  static HttpHeaders endToEnd(HttpHeaders headers) {
    HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    copy.add(headers);
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.trim());
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
