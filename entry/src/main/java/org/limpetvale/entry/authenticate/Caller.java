package org.limpetvale.entry.authenticate;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.WorkspaceParameters;

/**
 * Holds the workspace that a request runs for.
 *
 * @param config configuration that the request was authenticated against
 * @param parameters parameters of the workspace
 * @param keyDigest digest of the key; empty for a request on an open route
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
