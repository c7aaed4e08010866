package org.limpetvale.core.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version number of the version; later versions have higher ones
 * @param routes the routes
 * @param services services by name
 * @param limits bounds on callers
 * @param keysRequired whether routes that are not open need a key
 * @param workspacesByKey workspaces by key
 */
public record FleetConfig(
    long version,
    RouteTable routes,
    Map<String, ServicePolicy> services,
    CallerLimits limits,
    boolean keysRequired,
    Map<String, Workspace> workspacesByKey) {
  public FleetConfig {
    Objects.requireNonNull(routes, "routes is null");
    Objects.requireNonNull(limits, "limits is null");
    services = Map.copyOf(Objects.requireNonNull(services, "services is null"));
    workspacesByKey = Map.copyOf(Objects.requireNonNull(workspacesByKey, "keys is null"));
  }

  /** Returns the policy of a service, if the configuration has one. */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the workspace that a key belongs to. */
  public Optional<Workspace> workspaceOf(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
