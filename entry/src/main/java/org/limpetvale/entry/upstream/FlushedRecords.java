package org.limpetvale.entry.upstream;

import java.util.List;

/** Tells sidecar links which usage records have been written to the table. */
public interface FlushedRecords {
  /** Returns the id under which this process writes usage records. */
  String writerId();

  /**
   * Returns the ids of the records from one sidecar that were written to the table since the last
   * call, and removes them.
   */
  List<String> takeFlushed(String vm);

  /** Records that a sidecar holds usage records of a writer that no longer exists. */
  void recordOrphanedWriter(String vm, String writerId);
}
