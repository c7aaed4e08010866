package org.limpetvale.core.fleet;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The operator's orders in force to send nothing to the upstreams of an availability zone.
 *
 * @param zones the evacuated zones
 */
public record EvacuationOrders(Set<String> zones) {
  /** No zone is evacuated. */
  public static final EvacuationOrders NONE = new EvacuationOrders(Set.of());

  public EvacuationOrders {
    zones = Set.copyOf(Objects.requireNonNull(zones, "zones is null"));
  }

  /** Returns the orders after one was given. */
  public EvacuationOrders begun(String zone) {
    Set<String> next = new HashSet<>(zones);
    next.add(zone);
    return new EvacuationOrders(next);
  }

  /** Returns the orders after one was taken back. */
  public EvacuationOrders ended(String zone) {
    Set<String> next = new HashSet<>(zones);
    next.remove(zone);
    return new EvacuationOrders(next);
  }

  /**
   * Returns the orders after a read of all of them. One that is missing has been taken back, unless
   * the store may have lost it.
   *
   * @param stored zones of the orders that the store holds
   * @param mayLackOrders whether the store has come back from an older copy and the operator may
   *     not have written its orders again
   */
  public EvacuationOrders afterFullRead(Set<String> stored, boolean mayLackOrders) {
    if (!mayLackOrders) {
      return new EvacuationOrders(stored);
    }
    Set<String> next = new HashSet<>(zones);
    next.addAll(stored);
    return new EvacuationOrders(next);
  }
}
