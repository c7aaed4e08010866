package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Route;

/**
 * A model request to place.
 *
 * @param route route of the request
 * @param shape size of the request and the parts of its prompt
 * @param zone availability zone of the entry
 * @param tightGap whether the target gap between tokens is too short for engines that process long
 *     prompts
 * @param canWait whether the request can still wait for an engine that has the prefix of its prompt
 *     cached
 * @param repeatedPrefill how the cost of reading the shared prefix again is weighed
 */
public record PlacementRequest(
    Route route,
    PromptShape shape,
    String zone,
    boolean tightGap,
    boolean canWait,
    RepeatedPrefill repeatedPrefill) {
  public PlacementRequest {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(shape, "shape is null");
    Objects.requireNonNull(zone, "zone is null");
    Objects.requireNonNull(repeatedPrefill, "repeatedPrefill is null");
  }

  /** A request for which reading a shared prefix again has a fixed weight. */
  public PlacementRequest(
      Route route, PromptShape shape, String zone, boolean tightGap, boolean canWait) {
    this(route, shape, zone, tightGap, canWait, new RepeatedPrefill.FixedWeight());
  }
}
