package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * The key under which a whole request is suspected, beside the ids of its prompt parts. Attempts at
 * the same request have it in common, as requests have a part in common.
 */
public final class RequestKey {
  private static final String PREFIX = "=";

  private RequestKey() {}

  /** Returns the key of the request with a digest. */
  public static String of(String digest) {
    return PREFIX + Objects.requireNonNull(digest, "digest is null");
  }

  /** Returns whether a key is that of a whole request; a part with such an id needs another one. */
  public static boolean isRequest(String key) {
    return key.startsWith(PREFIX);
  }
}
