package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;

/** The outcome of a transaction. */
public sealed interface StoreCommit {
  /** It took effect. */
  record Committed(long version, long storeMillis) implements StoreCommit {}

  /** A condition did not hold; the rows of the conditions are as given. */
  record Conflict(List<StoredRow> rows) implements StoreCommit {
    public Conflict {
      rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
    }
  }

  /** The store refused; nothing was done. */
  record Refused(String detail) implements StoreCommit {}

  /** There was no answer; it may have been done or may be done yet. */
  record Unknown(String detail) implements StoreCommit {}
}
