package org.limpetvale.forward.duty;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The right to do the duties.
 *
 * @param leaseVersion version of the lease's row
 * @param epoch fencing number
 * @param stands tells whether the lease is still held
 */
record DutyRight(long leaseVersion, long epoch, BooleanSupplier stands) {
  DutyRight {
    Objects.requireNonNull(stands, "stands is null");
  }
}
