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
  public RequestPlan {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(policy, "policy is null");
    Objects.requireNonNull(workspace, "workspace is null");
  }

  /** Returns the priority, the workspace's before the route's. */
  public int priority() {
    return workspace.map(each -> each.priority().orElse(route.priority())).orElse(route.priority());
  }

  /** Tells whether the service runs model engines. */
  public boolean forEngine() {
    return policy.flatMap(ServicePolicy::engine).isPresent();
  }
}
