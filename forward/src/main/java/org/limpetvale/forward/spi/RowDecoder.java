package org.limpetvale.forward.spi;

import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.Upstream;

/** Decodes the rows of the operator and of the upstreams into typed values. */
public interface RowDecoder {

  /** The outcome of decoding. */
  sealed interface Decoded<T> {
    /** A usable value. */
    record Value<T>(T value) implements Decoded<T> {}

    /** A row that cannot be used, and the reason. */
    record Unusable<T>(String reason) implements Decoded<T> {}
  }

  /** Decides whether a row of the configuration table holds the configuration. */
  boolean isConfig(StoredRow row);

  /** Decodes the configuration. */
  Decoded<FleetConfig> decodeConfig(StoredRow row);

  /** Decodes an upstream's description. */
  Decoded<Upstream> decodeUpstream(StoredRow row);
}
