package org.limpetvale.entry.http;

import jakarta.ws.rs.core.MultivaluedMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.limpetvale.wire.Header;

/** Keeps callers' keys away from upstreams. */
final class KeyLeak {
  private static final String SCHEME = "Bearer ";
  private static final Set<String> WITHHELD =
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

  private KeyLeak() {}

  /** Returns the headers that may be passed on. */
  static List<Header> passable(MultivaluedMap<String, String> headers, String authorization) {
    String key = key(authorization);
    List<Header> passed = new ArrayList<>();
    headers.forEach(
        (name, values) -> {
          if (WITHHELD.contains(name.toLowerCase(Locale.ROOT))) {
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
  static boolean isIn(String authorization, String path, byte[] body) {
    String key = key(authorization);
    if (key.isEmpty()) {
      return false;
    }
    return path.contains(key) || new String(body, StandardCharsets.ISO_8859_1).contains(key);
  }

  private static String key(String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return "";
    }
    return authorization.substring(SCHEME.length()).trim();
  }
}
