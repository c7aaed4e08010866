package org.limpetvale.core.config;

import java.util.Objects;

/**
 * A route that a workspace opens to callers without a key.
 *
 * @param service name of the plain service
 * @param method HTTP method
 * @param pathPrefix path prefix, relative to the service
 */
public record OpenRoute(String service, String method, String pathPrefix) {
  public OpenRoute {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(pathPrefix, "pathPrefix is null");
  }
}
