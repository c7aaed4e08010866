package org.limpetvale.entry.upstream;

import java.util.List;

/** Where links learn which usage records have reached the table. */
public interface FlushedRecords {
  /** Returns the name under which this process writes usage. */
  String writerId();

  /** Takes the records of one sidecar that have reached the table since the last call. */
  List<String> takeFlushed(String vm);

  /** Notes that a sidecar holds records of a writer that is gone. */
  void recordOrphanedWriter(String vm, String writerId);
}
