package org.limpetvale.forward.spi;

import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.store.StoreVersion;

/**
 * The platform's row store. The returned futures complete on the daemon's event loop and never
 * exceptionally.
 */
public interface FleetStore {
  /**
   * Reads a consistent snapshot of the rows of a table.
   *
   * @param table the table
   * @param fromKey first key, inclusive; empty for the start of the table
   * @param toKey end key, exclusive; empty for the end of the table
   */
  CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey);

  /**
   * Waits for changes to a table (long poll).
   *
   * @param table the table
   * @param sinceVersion version after which changes are returned
   * @param waitMillis maximum time to wait for the first change
   */
  CompletableFuture<StoreRead> changes(RowTable table, long sinceVersion, long waitMillis);

  /** Returns the newest version of the store that an answer has named. */
  StoreVersion newestVersion();

  /** Runs a transaction once, without retries. */
  CompletableFuture<StoreCommit> commit(RowTransaction transaction);
}
