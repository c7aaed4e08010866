package org.limpetvale.core.config;

import java.util.Objects;

/**
 * One route of a plain service.
 *
 * @param method HTTP method
 * @param pathPrefix prefix of the path below the service
 * @param repeatable whether a call may run more than once
 * @param mayBeOpen whether a workspace may open the route to all
 */
public record ServiceRoute(
    String method, String pathPrefix, boolean repeatable, boolean mayBeOpen) {
  public ServiceRoute {
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(pathPrefix, "pathPrefix is null");
  }

  /** Tells whether a call takes this route. */
  public boolean matches(String callMethod, String path) {
    return method.equals(callMethod) && path.startsWith(pathPrefix);
  }
}
