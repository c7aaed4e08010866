package org.limpetvale.ports;

import java.util.Objects;

/**
 * A VM of the list.
 *
 * @param name name of the VM
 * @param zone availability zone
 * @param role what runs on it
 * @param pool model or service that an upstream serves; empty for an entry
 * @param address host and port of the system's process on it
 * @param leaving whether it is on its way out
 */
public record Vm(
    String name, String zone, Role role, String pool, String address, boolean leaving) {
  /** What runs on a VM. */
  public enum Role {
    ENTRY,
    MODEL,
    SERVICE
  }

  public Vm {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(zone, "zone is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(pool, "pool is null");
    Objects.requireNonNull(address, "address is null");
  }
}
