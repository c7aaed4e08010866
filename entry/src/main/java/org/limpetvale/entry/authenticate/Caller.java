package org.limpetvale.entry.authenticate;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.WorkspaceParameters;

/**
 * Whom a request runs for.
 *
 * @param config the configuration that the request was judged by
 * @param parameters the workspace
 * @param keyDigest digest of the key; empty on a route open to all
 */
public record Caller(
    ConfigState config, WorkspaceParameters parameters, Optional<String> keyDigest) {
  public Caller {
    Objects.requireNonNull(config, "config is null");
    Objects.requireNonNull(parameters, "parameters is null");
    Objects.requireNonNull(keyDigest, "keyDigest is null");
  }

  /** Returns the name of the workspace. */
  public String workspace() {
    return parameters.workspace();
  }
}
