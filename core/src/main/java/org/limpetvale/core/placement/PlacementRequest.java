package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Route;

/**
 * A model request to place.
 *
 * @param route route of the request
 * @param shape size and prompt parts of the request
 * @param zone availability zone of the entry
 * @param tightGap whether the gap target is too short for engines that read long prompts
 * @param canWait whether the request can still wait for an engine that has its prefix cached
 */
public record PlacementRequest(
    Route route, PromptShape shape, String zone, boolean tightGap, boolean canWait) {
  public PlacementRequest {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(shape, "shape is null");
    Objects.requireNonNull(zone, "zone is null");
  }
}
