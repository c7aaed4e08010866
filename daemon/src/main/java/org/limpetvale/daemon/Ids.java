package org.limpetvale.daemon;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates random identifiers and keys. */
public final class Ids {
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int ID_BYTES = 12;
  private static final int KEY_BYTES = 24;

  private Ids() {}

  /** Returns a new identifier of 24 hexadecimal digits. */
  public static String next() {
    return hex(ID_BYTES);
  }

  /** Returns a new API key for a caller. */
  public static String nextKey() {
    return "lv-" + hex(KEY_BYTES);
  }

  private static String hex(int bytes) {
    byte[] random = new byte[bytes];
    RANDOM.nextBytes(random);
    return HexFormat.of().formatHex(random);
  }
}
