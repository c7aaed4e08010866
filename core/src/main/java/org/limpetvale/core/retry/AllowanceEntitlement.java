package org.limpetvale.core.retry;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.time.Moment;

/**
 * Determines the share of a fleet-wide allowance that one entry may use. Immutable; operations
 * return a new value.
 *
 * <p>Each entry announces itself by a row that it renews periodically, and counts the rows of all
 * entries. It uses its share only if it has read the rows within the last window, has renewed its
 * own row within the last window, and has renewed it without a longer break for two windows. Hence
 * an entry that uses a share has read the rows after every other entry that used a share in the
 * last window announced itself, and counts all of them. The shares used in a window therefore add
 * up to at most the allowance. This requires that rows count for {@link #rowRetentionMillis} after
 * their last change.
 *
 * @param windowMillis length of the window that the allowance applies to
 * @param readAt time at which the last answered read of the rows was sent
 * @param sharers number of rows counted by that read
 * @param renewedAt time at which the last confirmed write of the own row was sent
 * @param announcedAt time of the first confirmed write of the own row since the last break
 */
public record AllowanceEntitlement(
    long windowMillis,
    Optional<Moment> readAt,
    int sharers,
    Optional<Moment> renewedAt,
    Optional<Moment> announcedAt) {
  private static final int ANNOUNCEMENT_WINDOWS = 2;

  /** Half a window longer than a row can be relevant, to cover messages in transit. */
  private static final double ROW_RETENTION_WINDOWS = 2.5;

  public AllowanceEntitlement {
    Objects.requireNonNull(readAt, "readAt is null");
    Objects.requireNonNull(renewedAt, "renewedAt is null");
    Objects.requireNonNull(announcedAt, "announcedAt is null");
  }

  /** Returns the entitlement of an entry that has neither read nor written rows. */
  public static AllowanceEntitlement of(long windowMillis) {
    return new AllowanceEntitlement(
        windowMillis, Optional.empty(), 0, Optional.empty(), Optional.empty());
  }

  /** Returns how long an unchanged row counts, in milliseconds. */
  public static long rowRetentionMillis(long windowMillis) {
    return Math.round(windowMillis * ROW_RETENTION_WINDOWS);
  }

  /**
   * Returns the entitlement after a read of the rows.
   *
   * @param sent time at which the read was sent
   * @param rowCount number of rows that count, including the own one
   */
  public AllowanceEntitlement afterRead(Moment sent, int rowCount) {
    return new AllowanceEntitlement(
        windowMillis, Optional.of(sent), rowCount, renewedAt, announcedAt);
  }

  /**
   * Returns the entitlement after a confirmed write of the own row.
   *
   * @param sent time at which the write was sent
   * @param confirmed time at which the confirmation arrived
   */
  public AllowanceEntitlement afterRenewal(Moment sent, Moment confirmed) {
    boolean uninterrupted = renewedAt.filter(last -> isWithinWindow(last, confirmed)).isPresent();
    return new AllowanceEntitlement(
        windowMillis,
        readAt,
        sharers,
        Optional.of(sent),
        uninterrupted ? announcedAt : Optional.of(confirmed));
  }

  /** Returns the share that may be used now. */
  public AllowanceShare share(Moment now) {
    long readAgeMillis = readAt.map(read -> elapsedMillis(read, now)).orElse(-1L);
    boolean entitled =
        sharers > 0
            && readAt.filter(read -> isWithinWindow(read, now)).isPresent()
            && renewedAt.filter(renewed -> isWithinWindow(renewed, now)).isPresent()
            && announcedAt.filter(announced -> isVisibleToAll(announced, now)).isPresent();
    return entitled
        ? AllowanceShare.equal(sharers, readAgeMillis)
        : AllowanceShare.none(sharers, readAgeMillis);
  }

  private boolean isWithinWindow(Moment from, Moment to) {
    return elapsedMillis(from, to) <= windowMillis;
  }

  private boolean isVisibleToAll(Moment announced, Moment now) {
    return now.monotonicMillis() - announced.monotonicMillis()
        >= ANNOUNCEMENT_WINDOWS * windowMillis;
  }

  /** The monotonic clock does not advance while the VM is suspended; the wall clock does. */
  private static long elapsedMillis(Moment from, Moment to) {
    return Math.max(
        to.monotonicMillis() - from.monotonicMillis(), to.wallMillis() - from.wallMillis());
  }
}
