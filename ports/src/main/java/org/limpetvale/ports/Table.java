package org.limpetvale.ports;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table. */
public interface Table {
  /** Reads one row. */
  ReadResult<Optional<Row>> get(String key);

  /**
   * Reads rows in key order.
   *
   * @param prefix prefix of the keys
   * @param after exclusive lower bound of the keys; empty to start with the first key
   * @param limit maximum number of rows
   */
  ReadResult<List<Row>> scan(String prefix, String after, int limit);

  /** Runs a transaction once, without retries. */
  CommitResult commit(Transaction transaction);
}
