package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Route;

/**
 * A model request that is to be placed.
 *
 * @param route its route
 * @param shape its size
 * @param zone availability zone of the entry
 * @param tightGap whether its gap target is too short for engines that read long prompts
 * @param canWait whether it can still wait for an engine that has its prefix
 */
public record PlacementRequest(
    Route route, PromptShape shape, String zone, boolean tightGap, boolean canWait) {
  public PlacementRequest {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(shape, "shape is null");
    Objects.requireNonNull(zone, "zone is null");
  }
}
