package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.store.StoreVersion;

/**
 * An atomic change to rows of the {@link RowTable#FLEET} table.
 *
 * @param conditions conditions that must all hold
 * @param writes rows to write
 * @param removals keys to remove
 */
public record RowTransaction(
    List<Condition> conditions, List<Write> writes, List<String> removals) {

  /**
   * A condition on one row.
   *
   * @param key the key
   * @param version version that the row must have; that of an absent row if it must not exist
   */
  public record Condition(String key, StoreVersion version) {
    public Condition {
      Objects.requireNonNull(key, "key is null");
      Objects.requireNonNull(version, "version is null");
    }
  }

  /**
   * A row to write.
   *
   * @param key the key
   * @param text the value
   */
  public record Write(String key, String text) {}

  public RowTransaction {
    conditions = List.copyOf(Objects.requireNonNull(conditions, "conditions is null"));
    writes = List.copyOf(Objects.requireNonNull(writes, "writes is null"));
    removals = List.copyOf(Objects.requireNonNull(removals, "removals is null"));
  }

  /** Returns a transaction that writes rows unconditionally. */
  public static RowTransaction of(List<Write> writes) {
    return new RowTransaction(List.of(), writes, List.of());
  }
}
