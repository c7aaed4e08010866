package org.limpetvale.entry.http;

import jakarta.ws.rs.core.MultivaluedMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.limpetvale.wire.Header;

/** Keeps callers' keys away from upstreams. */
final class KeyLeakGuard {
  private static final String BEARER_PREFIX = "Bearer ";
  private static final Set<String> HEADERS_NOT_FORWARDED =
      Set.of(
          "authorization",
          "proxy-authorization",
          "cookie",
          "x-api-key",
          "api-key",
          "host",
          "connection",
          "keep-alive",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "accept-encoding");

  private KeyLeakGuard() {}

  /** Returns the headers that may be passed on. */
  static List<Header> forwardableHeaders(
      MultivaluedMap<String, String> headers, String authorization) {
    String key = parseKey(authorization);
    List<Header> passed = new ArrayList<>();
    headers.forEach(
        (name, values) -> {
          if (HEADERS_NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
            return;
          }
          values.stream()
              .filter(value -> key.isEmpty() || !value.contains(key))
              .forEach(
                  value -> passed.add(Header.newBuilder().setName(name).setValue(value).build()));
        });
    return passed;
  }

  /** Tells whether a path or body carries the key that came with the request. */
  static boolean containsKey(String authorization, String path, byte[] body) {
    String key = parseKey(authorization);
    if (key.isEmpty()) {
      return false;
    }
    return path.contains(key) || new String(body, StandardCharsets.ISO_8859_1).contains(key);
  }

  private static String parseKey(String authorization) {
    if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
      return "";
    }
    return authorization.substring(BEARER_PREFIX.length()).trim();
  }
}
