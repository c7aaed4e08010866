package org.limpetvale.forward.spi;

import java.util.Objects;
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

  /**
   * An upstream's description, as it last wrote it.
   *
   * @param heartbeats how often its process has written it; rises with each heartbeat
   */
  record Registration(Upstream upstream, long heartbeats) {
    public Registration {
      Objects.requireNonNull(upstream, "upstream is null");
    }
  }

  /** Decodes an upstream's description. */
  Decoded<Registration> decodeUpstream(StoredRow row);
}
