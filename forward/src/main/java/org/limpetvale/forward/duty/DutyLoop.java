package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.lease.LeaseRow;
import org.limpetvale.core.lease.LeaseView;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.DutyCalls;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Writes this entry's rows, reads those of the others, and does the duties while it holds their
 * lease; for the event loop only.
 */
public final class DutyLoop {
  private static final long PERIOD_MILLIS = 2_000;
  private static final long LEASE_MILLIS = 6_000;

  /** Time after the end of a window after which its counts do not grow any more. */
  private static final long CLOSED_AFTER_MILLIS = 400;

  private static final int WINDOWS_KEPT = 6;
  private static final String DUTY = "duties";

  /**
   * Who does the duties.
   *
   * @param name name of this entry's VM
   * @param boot id of this process
   * @param settleMillis time between two holders' acts that the platform asks for
   */
  public record Identity(String name, String boot, long settleMillis) {
    String writer() {
      return name + "." + boot;
    }
  }

  private final Identity self;
  private final FleetStore store;
  private final UsageCounts usage;
  private final Members members;
  private final UsageDuty usageDuty;
  private final TimerService timer;
  private final EventLog log;
  private LeaseView lease = LeaseView.empty();
  private Optional<Long> heldSinceMillis = Optional.empty();
  private long beat;
  private boolean busy;
  private boolean stopped;

  private DutyLoop(
      Identity self,
      FleetStore store,
      DutyCalls calls,
      UsageCounts usage,
      Members members,
      TimerService timer,
      EventLog log) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.store = Objects.requireNonNull(store, "store is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.usageDuty = new UsageDuty(self.name(), store, calls, usage, members, log);
  }

  /** Returns a loop that has not begun. */
  public static DutyLoop of(
      Identity self,
      FleetStore store,
      DutyCalls calls,
      UsageCounts usage,
      Members members,
      TimerService timer,
      EventLog log) {
    return new DutyLoop(self, store, calls, usage, members, timer, log);
  }

  /** Begins. */
  public void start() {
    round();
    timer.every(PERIOD_MILLIS, this::round);
  }

  /** Writes what is left and releases the lease; the future completes in any case. */
  public CompletableFuture<Boolean> stop() {
    stopped = true;
    List<RowTransaction.Write> writes = usageRows(true);
    List<RowTransaction.Condition> conditions = new ArrayList<>();
    List<String> removals = List.of(FleetRows.memberKey(self.writer()));
    if (lease.held(timer.nowMillis())) {
      LeaseRow free = new LeaseRow(DUTY, "", lease.epoch(), LEASE_MILLIS, token());
      conditions.add(new RowTransaction.Condition(FleetRows.LEASE_KEY, lease.revision()));
      writes.add(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.lease(free)));
    }
    lease = LeaseView.empty();
    return store
        .commit(new RowTransaction(conditions, writes, removals))
        .thenApply(
            commit -> {
              log.change("duties_left", field("outcome", commit.toString()));
              return commit instanceof StoreCommit.Committed;
            });
  }

  // -- one round

  private void round() {
    if (busy || stopped) {
      return;
    }
    busy = true;
    writeOwn().thenCompose(done -> readAll()).thenAccept(done -> busy = false);
  }

  private CompletableFuture<StoreCommit> writeOwn() {
    List<RowTransaction.Write> writes = usageRows(false);
    writes.add(
        new RowTransaction.Write(
            FleetRows.memberKey(self.writer()), FleetRows.member(self.boot(), ++beat)));
    return store.commit(RowTransaction.of(writes));
  }

  private List<RowTransaction.Write> usageRows(boolean last) {
    List<RowTransaction.Write> writes = new ArrayList<>();
    long current = usage.currentWindow();
    for (long window = current - 1; window <= current; window++) {
      Map<String, Long> counts = usage.counts(window);
      boolean closed = last || usage.sinceEndMillis(window) > CLOSED_AFTER_MILLIS;
      if (!counts.isEmpty() || closed) {
        writes.add(
            new RowTransaction.Write(
                FleetRows.usageKey(window, self.writer()), FleetRows.usage(closed, counts)));
      }
    }
    usage.forgetBefore(current - WINDOWS_KEPT);
    return writes;
  }

  private CompletableFuture<Void> readAll() {
    return store
        .read(RowTable.FLEET, "", "")
        .thenCompose(
            read ->
                switch (read) {
                  case StoreRead.Page(RowPage page) -> took(page);
                  case StoreRead.HistoryGone() -> done();
                  case StoreRead.Failed(String detail) -> {
                    log.change("duty_read_failed", field("cause", detail));
                    yield done();
                  }
                });
  }

  private CompletableFuture<Void> took(RowPage page) {
    Map<String, Long> versions = new HashMap<>();
    Optional<LeaseRow> leaseRow = Optional.empty();
    long leaseVersion = 0;
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(FleetRows.MEMBER_PREFIX)) {
        versions.put(row.key().substring(FleetRows.MEMBER_PREFIX.length()), row.version());
      } else if (row.key().equals(FleetRows.LEASE_KEY)) {
        leaseRow = FleetRows.parseLease(row.text());
        leaseVersion = row.version();
      }
    }
    members.read(versions);
    lease = lease.afterRead(leaseRow, leaseVersion, timer.nowMillis());
    return renew().thenCompose(held -> held ? act(page) : done());
  }

  // -- the lease

  private CompletableFuture<Boolean> renew() {
    long sentMillis = timer.nowMillis();
    Optional<LeaseRow> next =
        lease.nextWrite(self.writer(), DUTY, LEASE_MILLIS, token(), sentMillis);
    if (next.isEmpty() || stopped) {
      heldSinceMillis = Optional.empty();
      return CompletableFuture.completedFuture(false);
    }
    RowTransaction write =
        new RowTransaction(
            List.of(new RowTransaction.Condition(FleetRows.LEASE_KEY, lease.revision())),
            List.of(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.lease(next.get()))),
            List.of());
    return store.commit(write).thenApply(commit -> renewed(commit, next.get(), sentMillis));
  }

  private boolean renewed(StoreCommit commit, LeaseRow row, long sentMillis) {
    return switch (commit) {
      case StoreCommit.Committed(long version, long ignored) -> {
        boolean fresh = lease.epoch() != row.epoch() || !lease.held(sentMillis);
        lease = lease.afterWrite(row, version, sentMillis);
        if (fresh) {
          heldSinceMillis = Optional.of(sentMillis);
          log.change("lease_taken", field("epoch", row.epoch()), field("version", version));
        }
        yield true;
      }
      case StoreCommit.Conflict ignored -> lostLease("conflict");
      case StoreCommit.Refused(String detail) -> lostLease(detail);
      case StoreCommit.Unknown(String detail) -> lostLease(detail);
    };
  }

  private boolean lostLease(String cause) {
    log.change("lease_not_written", field("epoch", lease.epoch()), field("cause", cause));
    return false;
  }

  /** Acts as the holder, once the time since the last holder's acts has passed. */
  private CompletableFuture<Void> act(RowPage page) {
    long nowMillis = timer.nowMillis();
    boolean settled =
        heldSinceMillis.filter(since -> nowMillis - since >= self.settleMillis()).isPresent();
    if (!settled || !lease.held(nowMillis)) {
      return done();
    }
    return usageDuty.act(page, new UsageDuty.Right(lease.revision(), lease.epoch(), this::mayAct));
  }

  private boolean mayAct() {
    return !stopped && lease.held(timer.nowMillis());
  }

  private static String token() {
    return UUID.randomUUID().toString();
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
