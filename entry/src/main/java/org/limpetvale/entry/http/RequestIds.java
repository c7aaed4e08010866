package org.limpetvale.entry.http;

import java.util.regex.Pattern;
import org.limpetvale.daemon.Ids;

/** Generates request ids. */
final class RequestIds {
  private static final Pattern CLIENT_ID_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

  private RequestIds() {}

  /**
   * Returns a unique request id.
   *
   * @param given an id chosen by the caller, used as a prefix if valid; may be null
   */
  static String next(String given) {
    return given != null && CLIENT_ID_PATTERN.matcher(given).matches()
        ? given + "." + Ids.next().substring(0, 8)
        : Ids.next();
  }
}
