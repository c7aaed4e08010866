package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.limit.ColdStart;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 * @param engine capabilities of its model engines, if it has any
 * @param scaling bounds on the number of upstreams per availability zone, if the service can be
 *     scaled
 * @param coldStart what its upstreams bear after their start, if that is limited
 */
public record ServicePolicy(
    String name,
    int maxConnections,
    Optional<Engine> engine,
    Optional<ScalingBounds> scaling,
    Optional<ColdStart> coldStart) {

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

  /** Creates the configuration of a service whose upstreams bear all requests from their start. */
  public ServicePolicy(
      String name, int maxConnections, Optional<Engine> engine, Optional<ScalingBounds> scaling) {
    this(name, maxConnections, engine, scaling, Optional.empty());
  }

  public ServicePolicy {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(engine, "engine is null");
    Objects.requireNonNull(scaling, "scaling is null");
    Objects.requireNonNull(coldStart, "coldStart is null");
  }
}
