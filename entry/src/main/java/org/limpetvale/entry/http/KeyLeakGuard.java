package org.limpetvale.entry.http;

import jakarta.ws.rs.core.MultivaluedMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.limpetvale.wire.Header;

/** Keeps callers' keys from reaching upstreams. */
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

  /**
   * Returns the headers to forward; omits credentials, connection headers and values with the key.
   */
  static List<Header> forwardableHeaders(
      MultivaluedMap<String, String> headers, String authorization) {
    String key = parseKey(authorization);
    List<Header> forwarded = new ArrayList<>();
    headers.forEach(
        (name, values) -> {
          if (HEADERS_NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
            return;
          }
          values.stream()
              .filter(value -> key.isEmpty() || !value.contains(key))
              .forEach(
                  value ->
                      forwarded.add(Header.newBuilder().setName(name).setValue(value).build()));
        });
    return forwarded;
  }

  /** Returns whether the path or body contains the key from the request's Authorization header. */
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
