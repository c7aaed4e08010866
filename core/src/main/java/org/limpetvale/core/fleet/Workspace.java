package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace as used for routing.
 *
 * @param name name that is sent to upstreams
 * @param priority priority that overrides the route's, if present
 * @param allowedRegions regions in which its requests may be processed
 */
public record Workspace(String name, OptionalInt priority, AllowedRegions allowedRegions) {
  /** Creates a workspace whose requests may be processed in all regions. */
  public Workspace(String name, OptionalInt priority) {
    this(name, priority, AllowedRegions.ALL);
  }

  public Workspace {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(priority, "priority is null");
    Objects.requireNonNull(allowedRegions, "allowedRegions is null");
  }
}
