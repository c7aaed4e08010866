package org.limpetvale.core.lease;

import java.util.Objects;

/**
 * The row of a lease in the table.
 *
 * @param duty the duty that the lease is for
 * @param holder process that holds it; empty after a release
 * @param epoch fencing number; raised by each acquisition
 * @param durationMillis time that the holder may hold it after a renewal, in milliseconds
 * @param token token of the last write, which resolves a lost answer
 */
public record LeaseRow(String duty, String holder, long epoch, long durationMillis, String token) {
  public LeaseRow {
    Objects.requireNonNull(duty, "duty is null");
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(token, "token is null");
  }
}
