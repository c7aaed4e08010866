package org.limpetvale.forward.testing;

import java.util.Map;
import java.util.Optional;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.RouteTable;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Decodes the text of a row as the version of a configuration, which may be followed by the name of
 * a service; the text "odd" is unusable.
 */
public final class VersionDecoder implements RowDecoder {
  @Override
  public boolean isConfig(StoredRow row) {
    return row.key().equals("config");
  }

  @Override
  public Decoded<FleetConfig> decodeConfig(StoredRow row) {
    String[] words = row.text().split(" ");
    return row.text().equals("odd")
        ? new Decoded.Unusable<>("odd")
        : new Decoded.Value<>(
            new FleetConfig(
                Long.parseLong(words[0]),
                RouteTable.empty(),
                services(words),
                CallerLimits.DEFAULT,
                true,
                Map.of()));
  }

  private static Map<String, ServicePolicy> services(String[] words) {
    return words.length == 1
        ? Map.of()
        : Map.of(words[1], new ServicePolicy(words[1], 1, Optional.empty(), Optional.empty()));
  }

  @Override
  public Evacuation decodeEvacuation(StoredRow row) {
    return row.key().startsWith("evacuate/")
        ? new Evacuation.OfZone(row.key().substring("evacuate/".length()))
        : new Evacuation.None();
  }

  @Override
  public Decoded<Registration> decodeUpstream(StoredRow row) {
    return new Decoded.Unusable<>("none");
  }
}
