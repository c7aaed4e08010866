package org.limpetvale.core.config;

import java.util.Objects;

/**
 * A granted key, without the key itself.
 *
 * @param keyId public name of the key
 * @param workspace workspace that the key speaks for
 * @param digest keyed digest of the key, in hexadecimal
 */
public record KeyGrant(String keyId, String workspace, String digest) {
  public KeyGrant {
    Objects.requireNonNull(keyId, "keyId is null");
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(digest, "digest is null");
  }
}
