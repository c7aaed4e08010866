package org.limpetvale.core.config;

import java.util.Objects;

/**
 * The grant of an API key; holds a digest instead of the key itself.
 *
 * @param keyId public identifier of the key
 * @param workspace workspace that the key authenticates
 * @param digest keyed digest of the key, in hexadecimal
 */
public record KeyGrant(String keyId, String workspace, String digest) {
  public KeyGrant {
    Objects.requireNonNull(keyId, "keyId is null");
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(digest, "digest is null");
  }
}
