package org.limpetvale.forward.route;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.core.fleet.Workspace;

/**
 * What the configuration says of a request.
 *
 * @param configVersion version of the configuration
 * @param route its route
 * @param service service that it goes to
 * @param policy what the configuration says of that service
 * @param workspace workspace that it runs for, if its route needs a key
 */
public record RequestPlan(
    long configVersion,
    Route route,
    String service,
    Optional<ServicePolicy> policy,
    Optional<Workspace> workspace) {
  /** Route priorities that are told apart among workspaces of the same priority. */
  private static final int ROUTE_PRIORITIES = 3;

  private static final int LOWEST_RANK = 9;

  public RequestPlan {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(policy, "policy is null");
    Objects.requireNonNull(workspace, "workspace is null");
  }

  /**
   * Returns the rank among all requests, 0 the highest: by the workspace's priority before the
   * route's, and by the route's among equal workspaces.
   */
  public int rank() {
    int routePriority = Math.min(ROUTE_PRIORITIES - 1, Math.max(0, route.priority()));
    int first = workspace.map(each -> each.priority().orElse(routePriority)).orElse(routePriority);
    return Math.min(LOWEST_RANK, Math.max(0, first) * ROUTE_PRIORITIES + routePriority);
  }

  /** Tells whether the service runs model engines. */
  public boolean targetsModelEngine() {
    return policy.flatMap(ServicePolicy::engine).isPresent();
  }
}
