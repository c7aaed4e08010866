package org.limpetvale.forward.spi;

import java.util.Objects;
import org.limpetvale.core.store.StoreVersion;

/**
 * A row of the store.
 *
 * @param key the key
 * @param text the value as text; an empty string for a removed row
 * @param version version of the transaction that wrote it
 * @param removed whether the row was removed
 */
public record StoredRow(String key, String text, StoreVersion version, boolean removed) {
  public StoredRow {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(text, "text is null");
    Objects.requireNonNull(version, "version is null");
  }
}
