package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace as used for routing.
 *
 * @param name name that is sent to upstreams
 * @param priority priority that overrides the route's, if present
 */
public record Workspace(String name, OptionalInt priority) {
  public Workspace {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(priority, "priority is null");
  }
}
