package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 * @param engine capabilities of its model engines, if it has any
 * @param scaling bounds on the number of upstreams per availability zone, if the service can be
 *     scaled
 */
public record ServicePolicy(
    String name, int maxConnections, Optional<Engine> engine, Optional<ScalingBounds> scaling) {

  /**
   * The capabilities of a model engine.
   *
   * @param slots maximum number of concurrently running requests
   * @param cacheTokens capacity of its cache, in tokens
   */
  public record Engine(int slots, long cacheTokens) {}

  /**
   * Bounds on the number of upstreams.
   *
   * @param minPerZone minimum number of upstreams per availability zone
   * @param maxPerZone maximum number of upstreams per availability zone
   */
  public record ScalingBounds(int minPerZone, int maxPerZone) {}

  public ServicePolicy {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(engine, "engine is null");
    Objects.requireNonNull(scaling, "scaling is null");
  }
}
