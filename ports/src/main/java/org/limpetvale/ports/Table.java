package org.limpetvale.ports;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table. */
public interface Table {
  /** Reads one row. */
  ReadResult<Optional<Row>> get(String key);

  /**
   * Reads rows in order of their keys.
   *
   * @param prefix prefix of the keys
   * @param after key after which to begin; empty for the first
   * @param limit most rows to read
   */
  ReadResult<List<Row>> scan(String prefix, String after, int limit);

  /** Runs a transaction once, without repeating it. */
  CommitResult commit(Transaction transaction);
}
