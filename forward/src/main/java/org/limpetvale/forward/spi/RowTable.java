package org.limpetvale.forward.spi;

/** The tables of the platform's store that the daemon uses. */
public enum RowTable {
  /** The operator's configuration; read only. */
  CONFIG,
  /** The upstreams' own descriptions; read only. */
  UPSTREAMS,
  /** What the entries of the fleet tell each other. */
  FLEET
}
