package org.limpetvale.core.config;

import java.util.Objects;

/**
 * An API key granted to a workspace, stored as a digest instead of the key itself.
 *
 * @param keyId public identifier of the key
 * @param workspace workspace whose requests the key authenticates
 * @param digest digest of the API key, computed with a secret, in hexadecimal
 */
public record KeyGrant(String keyId, String workspace, String digest) {
  public KeyGrant {
    Objects.requireNonNull(keyId, "keyId is null");
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(digest, "digest is null");
  }
}
