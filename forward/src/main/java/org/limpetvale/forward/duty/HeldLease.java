package org.limpetvale.forward.duty;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The right to do the duties.
 *
 * @param rowVersion version of the lease's row
 * @param epoch fencing number
 * @param stillHeld tells whether the lease is still held
 */
record HeldLease(long rowVersion, long epoch, BooleanSupplier stillHeld) {
  HeldLease {
    Objects.requireNonNull(stillHeld, "stands is null");
  }
}
