package org.limpetvale.core.lease;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.store.StoreVersion;

/**
 * An immutable view of a lease as known to one process; every operation returns a new view.
 *
 * <p>Clocks of different processes are never compared. The holder measures the lease from before it
 * sent its renewal, and a contender from when it first saw the current revision of the row, each on
 * its own monotonic clock.
 *
 * <p>A store that has come back from an older copy holds an older row. The process that held the
 * lease last may take it again at once; it knows that it was the last one if it learns of the new
 * era within the lease duration after its last renewal. All others wait for a full lease duration
 * from when they saw the row in the new era, even if the copy says that the lease is free.
 *
 * @param row the row as last read; empty if it did not exist
 * @param revision revision of the row; empty if it has not been read yet
 * @param unchangedSinceMillis time at which this process first saw the revision, in milliseconds
 * @param heldUntilMillis time until which this process may act as the holder, in milliseconds; 0 if
 *     it is not the holder
 * @param lastHolderOfEarlierEra whether this process is known to have been the last holder before
 *     the current era, and has not seen a write of the lease since
 */
public record LeaseView(
    Optional<LeaseRow> row,
    Optional<StoreVersion> revision,
    long unchangedSinceMillis,
    long heldUntilMillis,
    boolean lastHolderOfEarlierEra) {
  /**
   * Share of the duration after which the holder stops acting, so that it stops before a contender
   * can acquire the lease.
   */
  private static final double HOLDER_SHARE = 0.7;

  /**
   * Part of the lease duration that is left out where its full length decides. A VM may have been
   * suspended for this long without being noticed.
   */
  private static final long CLOCK_MARGIN_MILLIS = 400;

  public LeaseView {
    Objects.requireNonNull(row, "row is null");
    Objects.requireNonNull(revision, "revision is null");
  }

  /** Returns the view of a process that has not read the row yet. */
  public static LeaseView empty() {
    return new LeaseView(Optional.empty(), Optional.empty(), 0, 0, false);
  }

  /** Returns the view after reading the row. */
  public LeaseView afterRead(Optional<LeaseRow> read, StoreVersion readRevision, long nowMillis) {
    boolean same = revision.filter(readRevision::equals).isPresent();
    boolean olderCopy =
        revision.filter(each -> each.isOfEarlierEraThan(readRevision)).isPresent()
            && !isOfEra(read, readRevision.era());
    boolean wasLastHolder = heldUntilMillis > 0 && isExclusiveAt(nowMillis);
    return new LeaseView(
        read,
        Optional.of(readRevision),
        same ? unchangedSinceMillis : nowMillis,
        same ? heldUntilMillis : 0,
        same ? lastHolderOfEarlierEra : olderCopy && wasLastHolder);
  }

  /**
   * Returns the view after this process wrote the row. A renewal that was sent in an earlier era
   * and took effect in the current one shows that no other process has taken the lease since, if
   * its answer comes before the lease would have expired.
   *
   * @param sentMillis when the write was sent
   * @param nowMillis when its answer has come
   */
  public LeaseView afterWrite(
      LeaseRow written, StoreVersion newRevision, long sentMillis, long nowMillis) {
    boolean renewal = heldUntilMillis > 0 && epoch() == written.epoch();
    long held = sentMillis + Math.round(written.durationMillis() * HOLDER_SHARE);
    return new LeaseView(
        Optional.of(written),
        Optional.of(newRevision),
        sentMillis,
        written.holder().isEmpty() ? 0 : held,
        !isOfEra(Optional.of(written), newRevision.era()) && renewal && isExclusiveAt(nowMillis));
  }

  /** Returns whether no other process can have taken the lease that this process wrote last. */
  private boolean isExclusiveAt(long nowMillis) {
    return nowMillis + CLOCK_MARGIN_MILLIS < expiresAtMillis();
  }

  private static boolean isOfEra(Optional<LeaseRow> row, long era) {
    return FencingToken.eraOf(row.map(LeaseRow::epoch).orElse(0L)) == era;
  }

  /** Returns whether the row was written in the current era of the store, not in an earlier one. */
  public boolean isOfCurrentEra() {
    return isOfEra(row, era());
  }

  private long era() {
    return revision.map(StoreVersion::era).orElse(0L);
  }

  /**
   * Returns the view after the table was unavailable.
   *
   * <p>The holder could not renew the lease during the outage either, so a contender restarts its
   * wait.
   */
  public LeaseView afterOutage(long nowMillis) {
    return new LeaseView(row, revision, nowMillis, heldUntilMillis, lastHolderOfEarlierEra);
  }

  /** Returns the view after the holder announced that it has released the lease. */
  public LeaseView afterRelease() {
    Optional<LeaseRow> released =
        row.map(
            each ->
                new LeaseRow(each.duty(), "", each.epoch(), each.durationMillis(), each.token()));
    return new LeaseView(released, revision, unchangedSinceMillis, 0, false);
  }

  /** Returns the time at which another process's lease expires unless its row changes. */
  public long expiresAtMillis() {
    return unchangedSinceMillis + rowDurationMillis();
  }

  /**
   * Returns the time at which this process may take the lease unless its row changes.
   *
   * @param durationMillis usual lease duration, for a row that an older copy lacks
   */
  public long takeableAtMillis(long durationMillis) {
    return unchangedSinceMillis + waitMillis(durationMillis);
  }

  /** A row that the copy lacks may have existed, with the usual duration. */
  private long waitMillis(long durationMillis) {
    return row.isPresent() ? rowDurationMillis() : durationMillis;
  }

  private long rowDurationMillis() {
    return row.map(LeaseRow::durationMillis).orElse(0L);
  }

  /** Returns whether this process may act as the holder now. */
  public boolean isHolder(long nowMillis) {
    return nowMillis < heldUntilMillis && isOfCurrentEra();
  }

  /** Returns the view of a process that cannot tell for how long it was suspended. */
  public LeaseView afterSuspension() {
    return new LeaseView(row, revision, unchangedSinceMillis, 0, false);
  }

  /**
   * Returns whether the row names the given process as the holder; an empty string stands for a
   * released lease.
   */
  public boolean isHeldBy(String holder) {
    return row.filter(each -> each.holder().equals(holder)).isPresent();
  }

  /** Returns the fencing token of the row; 0 if there is no row. */
  public long epoch() {
    return row.map(LeaseRow::epoch).orElse(0L);
  }

  /**
   * Returns the row to write in order to renew or acquire the lease.
   *
   * @param self name of this process
   * @param duty name of the duty
   * @param durationMillis lease duration, in milliseconds
   * @param token unique token of the write
   * @param nowMillis current time on this process's monotonic clock, in milliseconds
   * @return the row, to be written only if the revision is unchanged; empty if another process
   *     holds the lease or the row has not been read yet
   */
  public Optional<LeaseRow> nextWrite(
      String self, String duty, long durationMillis, String token, long nowMillis) {
    if (revision.isEmpty()) {
      return Optional.empty();
    }
    if (isHolder(nowMillis)) {
      return Optional.of(new LeaseRow(duty, self, epoch(), durationMillis, token));
    }
    boolean released = isOfCurrentEra() && (row.isEmpty() || isHeldBy(""));
    boolean expired = nowMillis >= takeableAtMillis(durationMillis);
    return released || expired || lastHolderOfEarlierEra
        ? Optional.of(
            new LeaseRow(duty, self, FencingToken.next(epoch(), era()), durationMillis, token))
        : Optional.empty();
  }
}
