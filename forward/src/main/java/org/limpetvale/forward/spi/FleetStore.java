package org.limpetvale.forward.spi;

import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.store.StoreVersion;

/**
 * The platform's row store.
 *
 * <p>The store may come back from an older copy, which begins a new era of its versions. From the
 * first answer of a new era on, answers of earlier ones count as lost, and a transaction whose
 * conditions belong to an earlier era is refused. The returned futures complete on the daemon's
 * event loop and never exceptionally.
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
   * @param sinceVersion version after which changes are returned; the history counts as gone if it
   *     belongs to an earlier era
   * @param waitMillis maximum time to wait for the first change
   */
  CompletableFuture<StoreRead> changes(RowTable table, StoreVersion sinceVersion, long waitMillis);

  /** Returns the newest version of the store that an answer has named. */
  StoreVersion newestVersion();

  /** Adds an action that runs when an answer has named a new era. */
  void onReturn(Runnable action);

  /** Runs a transaction once, without retries. */
  CompletableFuture<StoreCommit> commit(RowTransaction transaction);
}
