package org.limpetvale.entry;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import org.limpetvale.core.routing.RoutingPolicy;

/**
 * Settings of routing.
 *
 * @param policy policy that ranks the upstreams
 * @param tiers whether requests carry their tier; if false, all requests are treated alike
 * @param sidecarsPerPool maximum number of sidecars per model or service that this entry stays
 *     connected to
 * @param mostOffers maximum number of upstreams that a request is offered to
 */
public record RoutingSettings(
    @NotNull Policy policy,
    boolean tiers,
    @Min(1) @Max(4096) int sidecarsPerPool,
    @Min(1) @Max(64) int mostOffers) {

  /** Policies that rank the upstreams. */
  public enum Policy {
    PREDICTED,
    ROUND_ROBIN,
    LEAST_OUTSTANDING
  }

  /** Returns the default settings. */
  static RoutingSettings standard() {
    return new RoutingSettings(Policy.PREDICTED, true, 24, 4);
  }

  /** Returns the routing policy. */
  public RoutingPolicy routingPolicy() {
    return switch (policy) {
      case PREDICTED -> RoutingPolicy.Predicted.standard();
      case ROUND_ROBIN -> new RoutingPolicy.RoundRobin();
      case LEAST_OUTSTANDING -> new RoutingPolicy.LeastOutstanding();
    };
  }
}
