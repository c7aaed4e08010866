package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;

/**
 * Rows as of one moment, or the rows that changed up to one moment.
 *
 * @param rows the rows
 * @param version newest version of the store at that moment
 * @param storeMillis the store's steady clock at that moment
 */
public record RowPage(List<StoredRow> rows, long version, long storeMillis) {
  public RowPage {
    rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
  }
}
