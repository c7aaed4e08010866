package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.store.StoreVersion;

/**
 * A snapshot of rows, or the rows that changed up to some moment.
 *
 * @param rows the rows
 * @param version newest version of the store at the time of the read
 * @param storeMillis reading of the store's monotonic clock at the time of the read
 */
public record RowPage(List<StoredRow> rows, StoreVersion version, long storeMillis) {
  public RowPage {
    rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
    Objects.requireNonNull(version, "version is null");
  }
}
