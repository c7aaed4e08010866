package org.limpetvale.forward.duty;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The duty lease as held by this entry.
 *
 * @param rowVersion version of the lease row
 * @param epoch fencing token of the lease
 * @param stillHeld decides whether this entry may still act as the holder
 */
record HeldLease(long rowVersion, long epoch, BooleanSupplier stillHeld) {
  HeldLease {
    Objects.requireNonNull(stillHeld, "stands is null");
  }
}
