package org.limpetvale.core.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A version of the fleet's configuration.
 *
 * @param version version number; increases with every change
 * @param routes the routes
 * @param services services by name
 * @param limits limits on requests from callers
 * @param keysRequired whether routes that are not open require an API key
 * @param workspacesByKey workspaces by API key
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
    workspacesByKey =
        Map.copyOf(Objects.requireNonNull(workspacesByKey, "workspacesByKey is null"));
  }

  /** Returns the policy of a service. */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the workspace that an API key belongs to. */
  public Optional<Workspace> workspaceOf(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
