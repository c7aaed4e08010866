package org.limpetvale.forward.spi;

/** The tables of the platform's store that the daemon uses. */
public enum RowTable {
  /** The operator's configuration; read-only. */
  CONFIG,
  /** The descriptions that upstreams register; read-only. */
  UPSTREAMS,
  /** Rows through which the entries of the fleet share state. */
  FLEET
}
