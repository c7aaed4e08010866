package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;

/** Validates the header of a request before its body is read. */
final class RequestValidator {
  private RequestValidator() {}

  /** Returns the refusal for an invalid header; empty if the header is valid. */
  static Optional<Refusal> validate(HttpRequest request, CallerLimits limits) {
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      return malformed("there must be one Host header");
    }
    if (!request.uri().startsWith("/") || request.method().equals(HttpMethod.CONNECT)) {
      return malformed("the target must be a path");
    }
    if (request.protocolVersion().majorVersion() != HttpVersion.HTTP_1_1.majorVersion()) {
      return malformed("the protocol must be HTTP/1.1");
    }
    if (!hasUnambiguousTransferEncoding(request)) {
      return malformed("the Transfer-Encoding must be chunked alone");
    }
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > limits.maxBodyBytes()) {
      return Optional.of(Refusal.of(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit"));
    }
    return Optional.empty();
  }

  private static boolean hasUnambiguousTransferEncoding(HttpRequest request) {
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return encodings.isEmpty()
        || (encodings.size() == 1 && encodings.getFirst().trim().equalsIgnoreCase("chunked"));
  }

  private static Optional<Refusal> malformed(String detail) {
    return Optional.of(Refusal.of(ResultCode.REQUEST_MALFORMED, detail));
  }
}
