package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * What the configuration says of a service.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers
 * @param engine what its model engines can do, if it has any
 * @param scaling bounds of its upstreams by zone, if their number can be ordered
 */
public record ServicePolicy(
    String name, int maxConnections, Optional<Engine> engine, Optional<ScalingBounds> scaling) {

  /**
   * A model engine.
   *
   * @param slots requests that run at the same time
   * @param cacheTokens tokens that its memory holds
   */
  public record Engine(int slots, long cacheTokens) {}

  /**
   * Bounds of scaling.
   *
   * @param minPerZone fewest upstreams in a zone
   * @param maxPerZone most upstreams in a zone
   */
  public record ScalingBounds(int minPerZone, int maxPerZone) {}

  public ServicePolicy {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(engine, "engine is null");
    Objects.requireNonNull(scaling, "scaling is null");
  }
}
