package org.limpetvale.ports;

import java.util.Objects;

/**
 * A row of the table.
 *
 * @param key the key
 * @param revision number of the transaction that last wrote the row; positive
 * @param value the value, as JSON
 */
public record Row(String key, long revision, String value) {
  public Row {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(value, "value is null");
  }
}
