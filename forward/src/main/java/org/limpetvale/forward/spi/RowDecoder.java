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

  /** What a row of the configuration table says about the evacuation of a zone. */
  sealed interface Evacuation {
    /** The row is no order to evacuate a zone. */
    record None() implements Evacuation {}

    /** The row orders that nothing is sent to the upstreams of a zone while it exists. */
    record OfZone(String zone) implements Evacuation {
      public OfZone {
        Objects.requireNonNull(zone, "zone is null");
      }
    }

    /** The row is an order whose zone cannot be read, and the reason. */
    record Unusable(String reason) implements Evacuation {}
  }

  /** Decodes an order to evacuate a zone; also of a removed row, whose order has ended. */
  Evacuation decodeEvacuation(StoredRow row);

  /**
   * An upstream's description, as it last wrote it.
   *
   * @param heartbeats how often its process has written it; rises with each heartbeat
   * @param coldMillis how long its process is still cold; negative if it says nothing readable
   */
  record Registration(Upstream upstream, long heartbeats, long coldMillis) {
    public Registration {
      Objects.requireNonNull(upstream, "upstream is null");
    }

    /** Creates a description that does not say whether its process is cold. */
    public Registration(Upstream upstream, long heartbeats) {
      this(upstream, heartbeats, -1);
    }
  }

  /** Decodes an upstream's description. */
  Decoded<Registration> decodeUpstream(StoredRow row);
}
