package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.spi.RowTransaction;

/**
 * The duty lease as held by this entry.
 *
 * @param conditions conditions of a transaction that takes effect only while the lease is unchanged
 * @param era era of the store in which the lease was written
 * @param epoch fencing token of the lease
 * @param eraRow row of the era, with the first usage window that may be sealed in it
 * @param stillHeld decides whether this entry may still act as the holder
 * @param marks receives the versions of the era's row that this entry writes
 */
record HeldLease(
    List<RowTransaction.Condition> conditions,
    long era,
    long epoch,
    FleetRows.EraRow eraRow,
    BooleanSupplier stillHeld,
    FirstWindowMarks marks) {
  HeldLease {
    conditions = List.copyOf(Objects.requireNonNull(conditions, "conditions is null"));
    Objects.requireNonNull(eraRow, "eraRow is null");
    Objects.requireNonNull(stillHeld, "stillHeld is null");
    Objects.requireNonNull(marks, "marks is null");
  }

  /** Receives a confirmed change of the first window that may be sealed. */
  interface FirstWindowMarks {
    /**
     * Records the change.
     *
     * @param version new version of the era's row
     * @param row the row
     */
    void raised(StoreVersion version, FleetRows.EraRow row);
  }

  /** Returns the first usage window that may be sealed. */
  long firstWindow() {
    return eraRow.firstWindow();
  }

  /** Returns the conditions of the lease and one more. */
  List<RowTransaction.Condition> conditionsWith(RowTransaction.Condition another) {
    List<RowTransaction.Condition> all = new ArrayList<>(conditions);
    all.add(another);
    return all;
  }
}
