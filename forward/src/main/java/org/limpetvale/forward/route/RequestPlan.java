package org.limpetvale.forward.route;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.fleet.AllowedRegions;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.core.fleet.Workspace;

/**
 * The parts of the configuration that apply to a request.
 *
 * @param configVersion version of the configuration
 * @param route route of the request
 * @param service service that the request is sent to
 * @param policy policy of that service, if configured
 * @param workspace workspace of the request, if its route needs a key
 */
public record RequestPlan(
    long configVersion,
    Route route,
    String service,
    Optional<ServicePolicy> policy,
    Optional<Workspace> workspace) {
  /** Number of route priorities that are distinguished among workspaces of the same priority. */
  private static final int ROUTE_PRIORITIES = 3;

  private static final int LOWEST_RANK = 9;

  public RequestPlan {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(policy, "policy is null");
    Objects.requireNonNull(workspace, "workspace is null");
  }

  /**
   * Returns the rank among all requests, 0 being the highest: by the workspace's priority and then
   * by the route's.
   */
  public int rank() {
    int routePriority = Math.min(ROUTE_PRIORITIES - 1, Math.max(0, route.priority()));
    int first = workspace.map(each -> each.priority().orElse(routePriority)).orElse(routePriority);
    return Math.min(LOWEST_RANK, Math.max(0, first) * ROUTE_PRIORITIES + routePriority);
  }

  /** Returns the regions in which the request may be processed, by its route and workspace. */
  public AllowedRegions allowedRegions() {
    return route
        .allowedRegions()
        .and(workspace.map(Workspace::allowedRegions).orElse(AllowedRegions.ALL));
  }

  /** Returns the memory of an engine of the service in tokens; 0 if it is not configured. */
  public long engineCacheTokens() {
    return policy.flatMap(ServicePolicy::engine).map(ServicePolicy.Engine::cacheTokens).orElse(0L);
  }

  /** Returns whether the service runs model engines. */
  public boolean targetsModelEngine() {
    return policy.flatMap(ServicePolicy::engine).isPresent();
  }
}
