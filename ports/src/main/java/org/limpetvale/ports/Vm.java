package org.limpetvale.ports;

import java.util.Objects;

/**
 * A VM in the VM list.
 *
 * @param name name of the VM
 * @param zone availability zone
 * @param role role of the VM
 * @param pool model or service that an upstream serves; empty for an entry
 * @param address host and port of the entry or sidecar that runs on it
 * @param leaving whether it is about to be removed
 */
public record Vm(
    String name, String zone, Role role, String pool, String address, boolean leaving) {
  /** Role of a VM: an entry, a model engine or a plain service. */
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
