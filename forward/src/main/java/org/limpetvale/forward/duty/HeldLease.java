package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.limpetvale.forward.spi.RowTransaction;

/**
 * The duty lease as held by this entry.
 *
 * @param conditions conditions of a transaction that takes effect only while the lease is unchanged
 * @param era era of the store in which the lease was written
 * @param epoch fencing token of the lease
 * @param firstWindow first usage window that may be sealed in this era
 * @param stillHeld decides whether this entry may still act as the holder
 */
record HeldLease(
    List<RowTransaction.Condition> conditions,
    long era,
    long epoch,
    long firstWindow,
    BooleanSupplier stillHeld) {
  HeldLease {
    conditions = List.copyOf(Objects.requireNonNull(conditions, "conditions is null"));
    Objects.requireNonNull(stillHeld, "stillHeld is null");
  }

  /** Returns the conditions of the lease and one more. */
  List<RowTransaction.Condition> conditionsWith(RowTransaction.Condition another) {
    List<RowTransaction.Condition> all = new ArrayList<>(conditions);
    all.add(another);
    return all;
  }
}
