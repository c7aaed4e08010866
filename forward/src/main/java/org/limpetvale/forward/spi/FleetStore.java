package org.limpetvale.forward.spi;

import java.util.concurrent.CompletableFuture;

/** The platform's store. Its futures complete on the daemon's event loop and never fail. */
public interface FleetStore {
  /**
   * Reads the rows of a table as of one moment.
   *
   * @param table the table
   * @param fromKey first key, or empty for the first of the table
   * @param toKey key before which to stop, or empty for the end of the table
   */
  CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey);

  /**
   * Waits for changes of a table.
   *
   * @param table the table
   * @param sinceVersion version after which changes are wanted
   * @param waitMillis time to wait for the first change
   */
  CompletableFuture<StoreRead> changes(RowTable table, long sinceVersion, long waitMillis);

  /** Runs a transaction once. */
  CompletableFuture<StoreCommit> commit(RowTransaction transaction);
}
