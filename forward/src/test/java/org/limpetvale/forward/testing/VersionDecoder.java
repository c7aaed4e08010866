package org.limpetvale.forward.testing;

import java.util.Map;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.RouteTable;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;

/** Decodes the text of a row as the version of a configuration; the text "odd" is unusable. */
public final class VersionDecoder implements RowDecoder {
  @Override
  public boolean isConfig(StoredRow row) {
    return row.key().equals("config");
  }

  @Override
  public Decoded<FleetConfig> decodeConfig(StoredRow row) {
    return row.text().equals("odd")
        ? new Decoded.Unusable<>("odd")
        : new Decoded.Value<>(
            new FleetConfig(
                Long.parseLong(row.text()),
                RouteTable.empty(),
                Map.of(),
                CallerLimits.DEFAULT,
                true,
                Map.of()));
  }

  @Override
  public Decoded<Upstream> decodeUpstream(StoredRow row) {
    return new Decoded.Unusable<>("none");
  }
}
