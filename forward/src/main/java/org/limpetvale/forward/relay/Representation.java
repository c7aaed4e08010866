package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * What a response's header says about its body. Only bodies of equal representations may be joined.
 *
 * @param status status code, as bodies of other successes are partial, empty or another's
 * @param mediaType media type in lower case, without its parameters
 * @param contentEncoding encoding of the body in lower case; empty if there is none
 */
record Representation(int status, Optional<String> mediaType, String contentEncoding) {
  Representation {
    Objects.requireNonNull(mediaType, "mediaType is null");
    Objects.requireNonNull(contentEncoding, "contentEncoding is null");
  }

  /** Returns the representation that a response states. */
  static Representation of(HttpResponse response) {
    Optional<String> mediaType =
        Optional.ofNullable(response.headers().get(HttpHeaderNames.CONTENT_TYPE))
            .map(HttpUtil::getMimeType)
            .map(type -> type.toString().toLowerCase(Locale.ROOT));
    String contentEncoding =
        String.join(",", response.headers().getAll(HttpHeaderNames.CONTENT_ENCODING));
    return new Representation(
        response.status().code(), mediaType, contentEncoding.toLowerCase(Locale.ROOT));
  }
}
