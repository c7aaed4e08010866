package org.limpetvale.core.lease;

import java.util.Objects;

/**
 * The stored row of a lease.
 *
 * @param duty name of the duty, which only the holder of the lease may perform
 * @param holder process that holds the lease; empty after a release
 * @param epoch fencing token; raised by each acquisition and in each era of the store
 * @param durationMillis validity of the lease after a renewal, in milliseconds
 * @param token unique id of the last write; shows whether a write whose response was lost was
 *     committed
 */
public record LeaseRow(String duty, String holder, long epoch, long durationMillis, String token) {
  public LeaseRow {
    Objects.requireNonNull(duty, "duty is null");
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(token, "token is null");
  }
}
