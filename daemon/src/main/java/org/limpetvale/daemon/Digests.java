package org.limpetvale.daemon;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes keyed digests (HMAC), so that neither keys nor prompts are stored or logged. */
public final class Digests {
  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec secret;

  private Digests(SecretKeySpec secret) {
    this.secret = secret;
  }

  /** Returns an instance for a secret, which all entries share. */
  public static Digests of(String secret) {
    Objects.requireNonNull(secret, "secret is null");
    return new Digests(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
  }

  /** Returns the keyed digest of a text, in hexadecimal. */
  public String digest(String text) {
    return digest(text, new byte[0]);
  }

  /** Returns the keyed digest of a text and a byte sequence, in hexadecimal. */
  public String digest(String text, byte[] bytes) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      mac.update(text.getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      return HexFormat.of().formatHex(mac.doFinal(bytes));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
    }
  }

  /** Compares two digests in constant time. */
  public static boolean constantTimeEquals(String a, String b) {
    return MessageDigest.isEqual(
        a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
  }
}
