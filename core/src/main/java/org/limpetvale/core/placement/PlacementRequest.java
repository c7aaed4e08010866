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
 */
public record PlacementRequest(
    Route route, PromptShape shape, String zone, boolean tightGap, boolean canWait) {
  public PlacementRequest {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(shape, "shape is null");
    Objects.requireNonNull(zone, "zone is null");
  }
}
