package org.limpetvale.ports;

import java.util.List;
import java.util.Objects;

/**
 * A conditional transaction over rows.
 *
 * @param checks conditions, all of which must hold
 * @param puts rows to write
 * @param deletes keys to delete
 */
public record Transaction(List<Check> checks, List<Put> puts, List<String> deletes) {
  /**
   * A condition on one row.
   *
   * @param key the key
   * @param revision revision that the row must have; 0 if the row must not exist
   */
  public record Check(String key, long revision) {}

  /** A row to write. */
  public record Put(String key, String value) {}

  public Transaction {
    checks = List.copyOf(Objects.requireNonNull(checks, "checks is null"));
    puts = List.copyOf(Objects.requireNonNull(puts, "puts is null"));
    deletes = List.copyOf(Objects.requireNonNull(deletes, "deletes is null"));
  }

  /** Returns a transaction that writes one row if it has the given revision. */
  public static Transaction put(String key, long revision, String value) {
    return new Transaction(
        List.of(new Check(key, revision)), List.of(new Put(key, value)), List.of());
  }
}
