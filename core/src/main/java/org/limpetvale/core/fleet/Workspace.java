package org.limpetvale.core.fleet;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace as requests meet it.
 *
 * @param name name that upstreams see
 * @param priority priority that precedes the route's, if there is one
 */
public record Workspace(String name, OptionalInt priority) {
  public Workspace {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(priority, "priority is null");
  }
}
