package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.limpetvale.core.lease.LeaseRow;
import org.limpetvale.core.lease.LeaseView;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoredRow;

/**
 * The duty lease as one entry knows it, and the transactions that take, renew and release it. Must
 * only be used on the event loop.
 *
 * <p>The first holder in an era of the store writes a row of the era beside the lease and removes
 * those of earlier eras. Each transaction that requires the lease also requires that row, so a
 * transaction that is performed late, after the store has come back from an older copy, has no
 * effect even if the lease row has the same version number again.
 *
 * <p>The row of the era names the first usage window that may be sealed in it. A window that ended
 * earlier may have been reported by a holder that only the lost part of the store knew, or its
 * report may have been removed as old.
 */
final class DutyLease {
  static final long DURATION_MILLIS = 4_000;

  /**
   * Drift between the wall clock and the monotonic clock above which the VM may have been suspended
   * and its lease may have expired.
   */
  private static final long MAX_CLOCK_DRIFT_MILLIS = 300;

  private static final String DUTY_NAME = "duties";

  /** Number of usage windows for which an era counts as recent. */
  private static final long RECENT_ERA_WINDOWS = 2;

  /** Stands for the holder in a row that cannot be read; no entry has this id. */
  private static final String UNKNOWN_HOLDER = "?";

  private final DutyLoop.Identity self;
  private final UsageCounts usage;
  private final PeerReports peers;
  private final UnreadableRows unreadable;
  private final TimerService timer;
  private final EventLog log;
  private LeaseView view = LeaseView.empty();
  private Optional<Era> era = Optional.empty();
  private List<String> earlierEraKeys = List.of();

  /** When the last confirmed write of the lease was sent. */
  private Moment requestedAt = new Moment(0, 0);

  private long earliestActionMillis;

  /** First window that no other holder can have sealed, as this entry held the lease since. */
  private long heldSinceWindow;

  /**
   * First window behind those that this entry knows to be sealed. The store may lack their reports,
   * so that the next holder must not seal them.
   */
  private long knownSealedBefore;

  /** The row of the store's current era and its version. */
  private record Era(StoreVersion version, FleetRows.EraRow row) {
    boolean isReadable() {
      return !row.equals(FleetRows.EraRow.UNREADABLE);
    }
  }

  /**
   * A write of the lease.
   *
   * @param row the row to write
   * @param newEra row of the era if it has none yet
   * @param isContinuation whether this entry held the lease when the store came back from a copy
   * @param transaction the transaction that writes it
   */
  record Write(
      LeaseRow row,
      Optional<FleetRows.EraRow> newEra,
      boolean isContinuation,
      RowTransaction transaction) {}

  DutyLease(
      DutyLoop.Identity self,
      UsageCounts usage,
      PeerReports peers,
      UnreadableRows unreadable,
      TimerService timer,
      EventLog log) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.unreadable = Objects.requireNonNull(unreadable, "unreadable is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Applies the rows that were just read.
   *
   * @param afterFailure whether the reads before it failed
   */
  void applyPage(RowPage page, boolean afterFailure) {
    long currentEra = page.version().era();
    Optional<LeaseRow> row = Optional.empty();
    StoreVersion revision = StoreVersion.absentIn(currentEra);
    era = Optional.empty();
    List<String> earlierKeys = new ArrayList<>();
    for (StoredRow each : page.rows()) {
      if (each.key().equals(FleetRows.LEASE_KEY)) {
        row = Optional.of(parse(each));
        revision = each.version();
      } else if (each.key().equals(FleetRows.eraKey(currentEra))) {
        era = Optional.of(parseEra(each));
      } else if (each.key().startsWith(FleetRows.ERA_PREFIX)) {
        earlierKeys.add(each.key());
      }
    }
    earlierEraKeys = earlierKeys;
    long nowMillis = timer.nowMillis();
    if (wasSuspended() && view.revision().filter(revision::equals).isEmpty()) {
      view = view.afterSuspension();
    }
    view = view.afterRead(row, revision, nowMillis);
    boolean ownLease = view.isHeldBy(self.writer());
    if (afterFailure && !ownLease) {
      view = view.afterOutage(nowMillis);
    }
    if (!ownLease && peers.releaseOf(view.epoch()).isPresent()) {
      view = view.afterRelease();
    }
  }

  private Era parseEra(StoredRow row) {
    Era read = new Era(row.version(), FleetRows.parseEra(row.text()));
    if (!read.isReadable()) {
      unreadable.log(row);
    }
    return read;
  }

  /**
   * Parses the lease row. An unreadable one counts as the lease of an unknown holder, with the last
   * token that this entry knows, so that no token is given out again.
   */
  private LeaseRow parse(StoredRow row) {
    Optional<LeaseRow> readable = FleetRows.parseLease(row.text());
    if (readable.isEmpty()) {
      unreadable.log(row);
    }
    return readable.orElseGet(
        () -> new LeaseRow(DUTY_NAME, UNKNOWN_HOLDER, view.epoch(), DURATION_MILLIS, ""));
  }

  /**
   * Returns whether this entry holds the lease. The monotonic clock does not advance while the VM
   * is suspended, so the lease is not trusted after a suspension until it has been renewed.
   */
  boolean isHeld() {
    return view.isHolder(timer.nowMillis()) && !wasSuspended();
  }

  /**
   * Returns whether this entry was the last holder before the store came back from an older copy,
   * and the lease was not written since.
   */
  boolean wasHeldInEarlierEra() {
    return view.lastHolderOfEarlierEra();
  }

  private boolean wasSuspended() {
    long driftMillis = Moment.now(timer).driftSinceMillis(requestedAt);
    return Math.abs(driftMillis) > MAX_CLOCK_DRIFT_MILLIS;
  }

  /** Returns the lease for the duties if this entry may perform them now. */
  Optional<HeldLease> held(BooleanSupplier stillHeld) {
    if (timer.nowMillis() < earliestActionMillis || !isHeld() || era.isEmpty()) {
      return Optional.empty();
    }
    StoreVersion revision = view.revision().orElseThrow();
    return Optional.of(
        new HeldLease(
            conditions(revision),
            revision.era(),
            view.epoch(),
            era.get().row(),
            stillHeld,
            this::raiseFirstWindow));
  }

  private void raiseFirstWindow(StoreVersion version, FleetRows.EraRow row) {
    era = Optional.of(new Era(version, row));
    heldSinceWindow = Math.max(heldSinceWindow, row.firstWindow());
  }

  private List<RowTransaction.Condition> conditions(StoreVersion revision) {
    StoreVersion eraVersion = era.map(Era::version).orElse(StoreVersion.absentIn(revision.era()));
    return List.of(
        new RowTransaction.Condition(FleetRows.LEASE_KEY, revision),
        new RowTransaction.Condition(FleetRows.eraKey(revision.era()), eraVersion));
  }

  /**
   * Returns whether the store may have come back from an older copy a moment ago, so that what was
   * written again since is not complete.
   */
  boolean isEraRecent() {
    boolean returned = view.revision().filter(each -> each.era() > 0).isPresent();
    long windows =
        usage.currentWindow() - era.map(each -> each.row().startWindow()).orElse(Long.MAX_VALUE);
    return returned && windows < RECENT_ERA_WINDOWS;
  }

  /** Returns the time until another entry's lease expires unless its row changes. */
  long remainingMillis() {
    return view.takeableAtMillis(DURATION_MILLIS) - timer.nowMillis();
  }

  /** Returns the fencing token of the lease if its row names this entry; 0 otherwise. */
  long ownEpoch() {
    return view.isHeldBy(self.writer()) ? view.epoch() : 0;
  }

  /**
   * Returns the write that renews or takes the lease; empty if another entry holds it.
   *
   * @param others rows to write in the same transaction
   * @param firstUnsealedWindow first window behind those that this entry knows to be sealed
   */
  Optional<Write> nextWrite(List<RowTransaction.Write> others, long firstUnsealedWindow) {
    knownSealedBefore = firstUnsealedWindow;
    long nowMillis = timer.nowMillis();
    boolean continues = wasHeldInEarlierEra();
    return view.nextWrite(
            self.writer(), DUTY_NAME, DURATION_MILLIS, UUID.randomUUID().toString(), nowMillis)
        .map(row -> toWrite(row, continues, others));
  }

  private Write toWrite(LeaseRow row, boolean continues, List<RowTransaction.Write> others) {
    StoreVersion revision = view.revision().orElseThrow();
    List<RowTransaction.Write> writes = new ArrayList<>(others);
    writes.add(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.encodeLease(row)));
    Optional<FleetRows.EraRow> newEra = newEraRow(revision.era(), continues);
    newEra.ifPresent(
        each ->
            writes.add(
                new RowTransaction.Write(
                    FleetRows.eraKey(revision.era()), FleetRows.encodeEra(each))));
    List<String> removals = era.isPresent() ? List.of() : earlierEraKeys;
    return new Write(
        row, newEra, continues, new RowTransaction(conditions(revision), writes, removals));
  }

  /**
   * Returns the row of the era to write; empty if there is a readable one. An unreadable one may
   * have allowed any window, so only those that have not begun remain.
   */
  private Optional<FleetRows.EraRow> newEraRow(long number, boolean continues) {
    if (era.filter(Era::isReadable).isPresent()) {
      return Optional.empty();
    }
    long first = era.isEmpty() ? firstWindow(number, continues) : usage.currentWindow() + 1;
    return Optional.of(new FleetRows.EraRow(first, usage.currentWindow()));
  }

  /**
   * Returns the first window that may be sealed in an era without a row. The window after the
   * current one has not ended for any entry, whatever its clock says.
   */
  private long firstWindow(long number, boolean continues) {
    if (number == 0) {
      return 0;
    }
    return continues
        ? Math.max(Math.max(heldSinceWindow, knownSealedBefore), usage.oldestWindow())
        : usage.currentWindow() + 1;
  }

  /**
   * Applies the outcome of a write.
   *
   * @return whether this entry holds the lease now
   */
  boolean written(StoreCommit commit, Write write, Moment sentAt) {
    return switch (commit) {
      case StoreCommit.Committed(StoreVersion version, long ignored) -> {
        if (view.epoch() != write.row().epoch()) {
          acquired(write, sentAt.monotonicMillis());
        }
        write.newEra().ifPresent(each -> era = Optional.of(new Era(version, each)));
        view = view.afterWrite(write.row(), version, sentAt.monotonicMillis(), timer.nowMillis());
        requestedAt = sentAt;
        yield true;
      }
      case StoreCommit.Conflict ignored -> notWritten("conflict");
      case StoreCommit.Refused(String detail) -> notWritten(detail);
      case StoreCommit.Unknown(String detail) -> notWritten(detail);
    };
  }

  /**
   * Determines from when this entry may act as the new holder. After a release, the previous holder
   * may have acted a moment ago and may take the lease again soon, so the first action waits for
   * the settle time from when the release was received. After an expiry, the lease duration has
   * already passed.
   */
  private void acquired(Write write, long sentMillis) {
    boolean released = view.isHeldBy("");
    long releasedMillis =
        peers
            .releaseOf(view.epoch())
            .map(PeerReports.Release::firstReceivedMillis)
            .orElse(sentMillis);
    long earliestMillis = released ? releasedMillis + self.settleMillis() : sentMillis;
    earliestActionMillis =
        write.isContinuation() ? Math.max(earliestActionMillis, earliestMillis) : earliestMillis;
    if (!write.isContinuation()) {
      heldSinceWindow = Math.max(usage.currentWindow(), firstWindowAfter(write));
    }
    log.stateChange(
        "lease_taken",
        field("epoch", write.row().epoch()),
        field("afterRelease", released),
        field("continued", write.isContinuation()),
        field("firstWindowOfEra", write.newEra().map(each -> "" + each.firstWindow()).orElse("")));
  }

  private long firstWindowAfter(Write write) {
    return write.newEra().or(() -> era.map(Era::row)).map(FleetRows.EraRow::firstWindow).orElse(0L);
  }

  private boolean notWritten(String cause) {
    log.stateChange("lease_not_written", field("epoch", view.epoch()), field("cause", cause));
    return false;
  }

  /**
   * Gives the lease up.
   *
   * @param storeEra current era of the store
   * @return the conditions and the row that release it in the store; empty if this entry does not
   *     hold it
   */
  Optional<RowTransaction> release(long storeEra) {
    Optional<RowTransaction> release =
        view.revision()
            .filter(revision -> revision.era() == storeEra && view.isHolder(timer.nowMillis()))
            .map(this::releasing);
    view = LeaseView.empty();
    return release;
  }

  private RowTransaction releasing(StoreVersion revision) {
    LeaseRow free =
        new LeaseRow(DUTY_NAME, "", view.epoch(), DURATION_MILLIS, UUID.randomUUID().toString());
    return new RowTransaction(
        conditions(revision),
        List.of(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.encodeLease(free))),
        List.of());
  }
}
