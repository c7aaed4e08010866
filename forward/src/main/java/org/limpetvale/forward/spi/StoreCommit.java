package org.limpetvale.forward.spi;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.store.StoreVersion;

/** The outcome of a transaction. */
public sealed interface StoreCommit {
  /** The transaction took effect. */
  record Committed(StoreVersion version, long storeMillis) implements StoreCommit {
    public Committed {
      Objects.requireNonNull(version, "version is null");
    }
  }

  /** A condition did not hold; contains the current rows of the conditions. */
  record Conflict(List<StoredRow> rows) implements StoreCommit {
    public Conflict {
      rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
    }
  }

  /** The store rejected the transaction, which had no effect. */
  record Refused(String detail) implements StoreCommit {}

  /**
   * There was no response, or one from before the store came back from an older copy. The
   * transaction may have taken effect or may still do so.
   */
  record Unknown(String detail) implements StoreCommit {}
}
