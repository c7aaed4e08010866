package org.limpetvale.core.retry;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.time.Moment;

/**
 * What entitles one entry to a part of an allowance that a fleet shares; an immutable value whose
 * operations return the next value.
 *
 * <p>Each entry announces itself by a row that it writes again and again, and counts the rows of
 * all. It uses its part only while it has read the rows within the last window, has renewed its own
 * row within the last window, and has done so without a longer break for two windows. Whoever uses
 * a part has then read later than all others announced themselves that have used a part in the last
 * window, so it counts them, and the parts used in a window add up to the allowance at most. This
 * rests on rows being counted for {@link #rowRetentionMillis} after their last change.
 *
 * @param windowMillis length of the window that the allowance is for
 * @param readAt when the rows were last asked for, of the reads that were answered
 * @param sharers rows that were counted then
 * @param renewedAt when the last write of the own row was sent, of those that were confirmed
 * @param announcedAt when the own row was first confirmed since the last break
 */
public record AllowanceEntitlement(
    long windowMillis,
    Optional<Moment> readAt,
    int sharers,
    Optional<Moment> renewedAt,
    Optional<Moment> announcedAt) {
  private static final int ANNOUNCED_WINDOWS = 2;

  /** Half a window more than a row can be of use, for what is still on its way. */
  private static final double REMEMBERED_WINDOWS = 2.5;

  public AllowanceEntitlement {
    Objects.requireNonNull(readAt, "readAt is null");
    Objects.requireNonNull(renewedAt, "renewedAt is null");
    Objects.requireNonNull(announcedAt, "announcedAt is null");
  }

  /** Returns the claim of an entry that has neither read nor written. */
  public static AllowanceEntitlement of(long windowMillis) {
    return new AllowanceEntitlement(
        windowMillis, Optional.empty(), 0, Optional.empty(), Optional.empty());
  }

  /** Returns the time for which a row that stays as it is counts. */
  public static long rowRetentionMillis(long windowMillis) {
    return Math.round(windowMillis * REMEMBERED_WINDOWS);
  }

  /**
   * Returns the claim after the rows were read.
   *
   * @param sent when they were asked for
   * @param counted rows that count, the own one included
   */
  public AllowanceEntitlement afterRead(Moment sent, int counted) {
    return new AllowanceEntitlement(
        windowMillis, Optional.of(sent), counted, renewedAt, announcedAt);
  }

  /**
   * Returns the claim after a write of the own row was confirmed.
   *
   * @param sent when it was sent
   * @param confirmed when the confirmation came
   */
  public AllowanceEntitlement afterRenewal(Moment sent, Moment confirmed) {
    boolean unbroken = renewedAt.filter(last -> within(last, confirmed)).isPresent();
    return new AllowanceEntitlement(
        windowMillis,
        readAt,
        sharers,
        Optional.of(sent),
        unbroken ? announcedAt : Optional.of(confirmed));
  }

  /** Returns the part that may be used now. */
  public AllowanceShare share(Moment now) {
    long readAgeMillis = readAt.map(read -> elapsedMillis(read, now)).orElse(-1L);
    boolean entitled =
        sharers > 0
            && readAt.filter(read -> within(read, now)).isPresent()
            && renewedAt.filter(renewed -> within(renewed, now)).isPresent()
            && announcedAt.filter(announced -> isKnownToAll(announced, now)).isPresent();
    return entitled
        ? AllowanceShare.equal(sharers, readAgeMillis)
        : AllowanceShare.none(sharers, readAgeMillis);
  }

  private boolean within(Moment from, Moment to) {
    return elapsedMillis(from, to) <= windowMillis;
  }

  private boolean isKnownToAll(Moment announced, Moment now) {
    return now.monotonicMillis() - announced.monotonicMillis() >= ANNOUNCED_WINDOWS * windowMillis;
  }

  /** The monotonic clock does not count a suspension of the VM; the time of day does. */
  private static long elapsedMillis(Moment from, Moment to) {
    return Math.max(
        to.monotonicMillis() - from.monotonicMillis(), to.wallMillis() - from.wallMillis());
  }
}
