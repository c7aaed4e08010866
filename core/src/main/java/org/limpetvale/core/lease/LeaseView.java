package org.limpetvale.core.lease;

import java.util.Objects;
import java.util.Optional;

/**
 * What one process knows of a lease; an immutable value whose operations return the next value.
 *
 * <p>No clocks are compared: a holder counts from before it sent its renewal, a contender from when
 * it first saw the row as it is now, each on its own monotonic clock.
 *
 * @param row the row as last read; empty when there was none
 * @param revision revision of that row; 0 when there was none
 * @param unchangedSinceMillis when this process first saw that revision, in milliseconds
 * @param heldUntilMillis until when this process may act as the holder, in milliseconds; 0 when it
 *     is not the holder
 */
public record LeaseView(
    Optional<LeaseRow> row, long revision, long unchangedSinceMillis, long heldUntilMillis) {
  /** Share of the duration after which a holder stops, so that it stops before others may begin. */
  private static final double HOLDER_SHARE = 0.7;

  public LeaseView {
    Objects.requireNonNull(row, "row is null");
  }

  /** Returns the view of a process that has read nothing yet. */
  public static LeaseView empty() {
    return new LeaseView(Optional.empty(), -1, 0, 0);
  }

  /** Returns the view after a read of the row. */
  public LeaseView afterRead(Optional<LeaseRow> read, long readRevision, long nowMillis) {
    boolean same = readRevision == revision;
    return new LeaseView(
        read, readRevision, same ? unchangedSinceMillis : nowMillis, same ? heldUntilMillis : 0);
  }

  /** Returns the view after this process has written the row. */
  public LeaseView afterWrite(LeaseRow written, long newRevision, long sentMillis) {
    long held = sentMillis + Math.round(written.durationMillis() * HOLDER_SHARE);
    return new LeaseView(
        Optional.of(written), newRevision, sentMillis, written.holder().isEmpty() ? 0 : held);
  }

  /**
   * Returns the view after a time in which the table could not be read.
   *
   * <p>A holder could not renew in that time either, so that a contender begins to wait anew.
   */
  public LeaseView afterOutage(long nowMillis) {
    return new LeaseView(row, revision, nowMillis, heldUntilMillis);
  }

  /** Returns the view after the holder of the row has told that it has given the lease up. */
  public LeaseView afterRelease() {
    Optional<LeaseRow> released =
        row.map(
            each ->
                new LeaseRow(each.duty(), "", each.epoch(), each.durationMillis(), each.token()));
    return new LeaseView(released, revision, unchangedSinceMillis, 0);
  }

  /** Returns when the lease of another process lapses if its row stays as it is. */
  public long expiresAtMillis() {
    return unchangedSinceMillis + row.map(LeaseRow::durationMillis).orElse(0L);
  }

  /** Tells whether this process may act as the holder now. */
  public boolean isHolder(long nowMillis) {
    return nowMillis < heldUntilMillis;
  }

  /** Tells whether the row names a process as the holder; an empty text stands for none. */
  public boolean isHeldBy(String holder) {
    return row.filter(each -> each.holder().equals(holder)).isPresent();
  }

  /** Returns the fencing number of the row; 0 when there is none. */
  public long epoch() {
    return row.map(LeaseRow::epoch).orElse(0L);
  }

  /**
   * Tells what to write now.
   *
   * @param self this process
   * @param duty the duty
   * @param durationMillis duration to ask for, in milliseconds
   * @param token token of the write
   * @param nowMillis this process's monotonic clock, in milliseconds
   * @return the row to write on condition that the revision is unchanged; empty when another
   *     process holds the lease
   */
  public Optional<LeaseRow> nextWrite(
      String self, String duty, long durationMillis, String token, long nowMillis) {
    if (revision < 0) {
      return Optional.empty();
    }
    if (isHolder(nowMillis)) {
      return Optional.of(new LeaseRow(duty, self, epoch(), durationMillis, token));
    }
    boolean free = row.isEmpty() || isHeldBy("") || nowMillis >= expiresAtMillis();
    return free
        ? Optional.of(new LeaseRow(duty, self, epoch() + 1, durationMillis, token))
        : Optional.empty();
  }
}
