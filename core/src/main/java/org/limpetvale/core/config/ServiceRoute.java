package org.limpetvale.core.config;

import java.util.Objects;

/**
 * A route of a plain service.
 *
 * @param method HTTP method
 * @param pathPrefix path prefix, relative to the service
 * @param repeatable whether a call may be executed more than once
 * @param mayBeOpen whether a workspace may open the route to callers without a key
 */
public record ServiceRoute(
    String method, String pathPrefix, boolean repeatable, boolean mayBeOpen) {
  public ServiceRoute {
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(pathPrefix, "pathPrefix is null");
  }

  /** Returns whether a call matches this route. */
  public boolean matches(String callMethod, String path) {
    return method.equals(callMethod) && path.startsWith(pathPrefix);
  }
}
