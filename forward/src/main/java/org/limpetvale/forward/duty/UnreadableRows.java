package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.StoredRow;

/** Logs each shared row that cannot be read once, although it is read again in each round. */
final class UnreadableRows {
  private static final int MAX_ROWS = 500;

  private final EventLog log;
  private final Map<String, StoreVersion> logged = new HashMap<>();

  UnreadableRows(EventLog log) {
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Logs a row unless this version of it has been logged. */
  void log(StoredRow row) {
    if (logged.size() > MAX_ROWS) {
      logged.clear();
    }
    if (!row.version().equals(logged.put(row.key(), row.version()))) {
      log.stateChange(
          "shared_row_unreadable", field("row", row.key()), field("version", row.version()));
    }
  }
}
