package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.net.InetSocketAddress;
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
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.time.FleetClock;

/**
 * Writes this entry's rows, reads those of the others, and does the duties while it holds their
 * lease; for the event loop only.
 *
 * <p>The holder renews each round. Those that would take over look every second round, and all look
 * when a usage window has closed, so that its counts are in the store soon. After a time in which
 * the store could not be read, the others wait for the whole lease anew, as the holder could not
 * renew either.
 */
public final class DutyLoop {
  private static final long PERIOD_MILLIS = 1_000;

  /** Rounds between two looks of an entry that would take the lease over; the others look less. */
  private static final int CONTENDER_ROUNDS = 2;

  private static final int MOST_CONTENDERS = 3;

  /** Drift of the two clocks that hints at a suspended VM, whose lease may have lapsed. */
  private static final long SUSPENSION_MILLIS = 300;

  private static final long LEASE_MILLIS = 4_000;
  private static final String DUTY = "duties";

  /**
   * Who does the duties.
   *
   * @param name name of this entry's VM
   * @param bootId id of this process
   * @param peerAddress address where it takes reports of other entries
   * @param settleMillis time between two holders' acts that the platform asks for
   */
  public record Identity(
      String name, String bootId, InetSocketAddress peerAddress, long settleMillis) {
    /** Returns the id under which this process writes rows. */
    public String writer() {
      return name + "." + bootId;
    }
  }

  private final Identity self;
  private final FleetStore store;
  private final UsageCounts usage;
  private final Members members;
  private final FleetClock clock;
  private final PeerReports peers;
  private final SharedSuspects suspects;
  private final UsageDuty usageDuty;
  private final ScalingDuty scaling;
  private final TimerService timer;
  private final EventLog log;
  private LeaseView lease = LeaseView.empty();

  /** When the lease was last asked for. */
  private Moment leaseAsOf = new Moment(0, 0);

  private long actsFromMillis;
  private long releasedEpoch;
  private TimerService.Subscription lapseLook = () -> {};
  private long beat;
  private long rounds;

  /** The newest closed usage window when the last round began. */
  private long writtenWindow;

  /** The number of entries that share the retry budget as last logged. */
  private int sharersLogged;

  /** Whether the last write of this entry's own row was confirmed. */
  private boolean ownRowWritten;

  private boolean readFailed;
  private boolean busy;
  private boolean stopped;

  private DutyLoop(
      Identity self,
      FleetStore store,
      DutyClient calls,
      UsageCounts usage,
      ScalingDuty scaling,
      Members members,
      SharedSuspects suspects,
      PeerReports peers,
      FleetClock clock,
      TimerService timer,
      EventLog log) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.store = Objects.requireNonNull(store, "store is null");
    this.scaling = Objects.requireNonNull(scaling, "scaling is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.usageDuty = new UsageDuty(self, store, calls, usage, members, peers, log);
  }

  /** Returns a loop that has not begun. */
  public static DutyLoop of(
      Identity self,
      FleetStore store,
      DutyClient calls,
      UsageCounts usage,
      ScalingDuty scaling,
      Members members,
      SharedSuspects suspects,
      PeerReports peers,
      FleetClock clock,
      TimerService timer,
      EventLog log) {
    return new DutyLoop(
        self, store, calls, usage, scaling, members, suspects, peers, clock, timer, log);
  }

  /** Begins. */
  public void start() {
    scaling.start();
    runNow();
    timer.every(PERIOD_MILLIS, this::nextRound);
  }

  /** Does a round at once, as when the store answers again. */
  public void runNow() {
    if (!busy && !stopped) {
      round();
    }
  }

  /** Writes what is left and releases the lease; the future completes in any case. */
  public CompletableFuture<Boolean> stop() {
    stopped = true;
    releasedEpoch = lease.isHeldBy(self.writer()) ? lease.epoch() : 0;
    List<RowTransaction.Write> writes = usageRows(true);
    List<RowTransaction.Condition> conditions = new ArrayList<>();
    if (lease.isHolder(timer.nowMillis())) {
      LeaseRow free = new LeaseRow(DUTY, "", lease.epoch(), LEASE_MILLIS, token());
      conditions.add(new RowTransaction.Condition(FleetRows.LEASE_KEY, lease.revision()));
      writes.add(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.encodeLease(free)));
    }
    lease = LeaseView.empty();
    writes.add(
        new RowTransaction.Write(
            FleetRows.memberKey(self.writer()),
            FleetRows.encodeDeparture(suspects.localCrashes())));
    return store
        .commit(new RowTransaction(conditions, writes, List.of()))
        .thenApply(
            commit -> {
              log.stateChange("duties_left", field("outcome", commit.toString()));
              return commit instanceof StoreCommit.Committed;
            });
  }

  /** Returns the fencing number of the lease that this entry has given up; 0 if there is none. */
  public long releasedEpoch() {
    return releasedEpoch;
  }

  // -- rounds

  private void nextRound() {
    rounds++;
    boolean looks = (contends() || !ownRowWritten) && rounds % CONTENDER_ROUNDS == 0;
    if (holds() || looks || usage.closedWindow() > writtenWindow) {
      runNow();
    }
  }

  private boolean contends() {
    return members.countBefore(self.writer()) < MOST_CONTENDERS;
  }

  private void round() {
    busy = true;
    writtenWindow = usage.closedWindow();
    CompletableFuture<Void> steps =
        holds()
            ? holderRound()
            : writeOwn().thenCompose(commit -> readAll()).thenCompose(this::contend);
    steps.whenComplete(
        (done, fault) -> {
          busy = false;
          if (fault != null) {
            log.stateChange("duty_round_failed", field("cause", fault.toString()));
          }
        });
  }

  private CompletableFuture<Void> holderRound() {
    Moment sent = Moment.now(timer);
    return write(renewal(), ownRows())
        .thenCompose(
            held -> {
              ownRowWritten(held, sent);
              return held ? act() : done();
            });
  }

  private CompletableFuture<Void> contend(Optional<RowPage> page) {
    if (page.isEmpty()) {
      return done();
    }
    Optional<LeaseRow> next = renewal();
    if (next.isEmpty()) {
      lookAtLapse();
      return done();
    }
    return write(next, List.of()).thenCompose(held -> held ? actOn(page) : done());
  }

  /** Looks just when the lease lapses, if that comes before the next look. */
  private void lookAtLapse() {
    long leftMillis = lease.expiresAtMillis() - timer.nowMillis();
    lapseLook.cancel();
    if (contends() && leftMillis <= CONTENDER_ROUNDS * PERIOD_MILLIS) {
      lapseLook = timer.after(Math.max(0, leftMillis), this::runNow);
    }
  }

  private CompletableFuture<Void> act() {
    return usageDuty.isDue() ? readAll().thenCompose(this::actOn) : actOn(Optional.empty());
  }

  /** Does the duties; usage only with the rows of all entries. */
  private CompletableFuture<Void> actOn(Optional<RowPage> page) {
    long nowMillis = timer.nowMillis();
    if (nowMillis < actsFromMillis || !holds()) {
      return done();
    }
    HeldLease right = new HeldLease(lease.revision(), lease.epoch(), this::mayAct);
    return page.map(rows -> usageDuty.act(rows, right))
        .orElseGet(DutyLoop::done)
        .thenCompose(before -> scaling.act(right));
  }

  private boolean mayAct() {
    return !stopped && holds();
  }

  /**
   * Tells whether the lease is held. The monotonic clock does not count a suspension of the VM, so
   * a lease on it does not stand across one until it has been renewed.
   */
  private boolean holds() {
    long driftMillis = Moment.now(timer).driftSinceMillis(leaseAsOf);
    return lease.isHolder(timer.nowMillis()) && Math.abs(driftMillis) <= SUSPENSION_MILLIS;
  }

  // -- rows

  private CompletableFuture<StoreCommit> writeOwn() {
    Moment sent = Moment.now(timer);
    return store
        .commit(RowTransaction.of(ownRows()))
        .thenApply(
            commit -> {
              ownRowWritten(commit instanceof StoreCommit.Committed, sent);
              return commit;
            });
  }

  private void ownRowWritten(boolean confirmed, Moment sent) {
    ownRowWritten = confirmed;
    if (confirmed) {
      members.recordRenewal(sent);
    }
  }

  private List<RowTransaction.Write> ownRows() {
    List<RowTransaction.Write> writes = usageRows(false);
    writes.add(
        new RowTransaction.Write(
            FleetRows.memberKey(self.writer()),
            FleetRows.encodeMember(self.peerAddress(), ++beat, suspects.localCrashes())));
    return writes;
  }

  private List<RowTransaction.Write> usageRows(boolean last) {
    List<RowTransaction.Write> writes = new ArrayList<>();
    long current = usage.currentWindow();
    for (long window = current - 1; window <= current; window++) {
      Map<String, Long> counts = usage.counts(window);
      boolean closed = last || usage.isClosed(window);
      if (!counts.isEmpty() || closed) {
        writes.add(
            new RowTransaction.Write(
                FleetRows.usageKey(window, self.writer()), FleetRows.encodeUsage(closed, counts)));
      }
    }
    usage.removeOldWindows();
    return writes;
  }

  private CompletableFuture<Optional<RowPage>> readAll() {
    Moment sent = Moment.now(timer);
    return store.read(RowTable.FLEET, "", "").thenApply(read -> page(read, sent));
  }

  private Optional<RowPage> page(StoreRead read, Moment sent) {
    if (read instanceof StoreRead.Page found) {
      took(found.page(), sent);
      return Optional.of(found.page());
    }
    logFirstFailure(read.toString());
    return Optional.empty();
  }

  private void logFirstFailure(String detail) {
    if (!readFailed) {
      log.stateChange("duty_read_failed", field("cause", detail));
    }
    readFailed = true;
  }

  private void took(RowPage page, Moment sent) {
    clock.sync(page.storeMillis());
    Map<String, Members.Row> rows = new HashMap<>();
    Optional<LeaseRow> leaseRow = Optional.empty();
    long leaseVersion = 0;
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(FleetRows.MEMBER_PREFIX)) {
        String writer = row.key().substring(FleetRows.MEMBER_PREFIX.length());
        rows.put(writer, FleetRows.parseMember(row.version(), row.text()));
      } else if (row.key().equals(FleetRows.LEASE_KEY)) {
        leaseRow = FleetRows.parseLease(row.text());
        leaseVersion = row.version();
      }
    }
    members.recordRead(rows, sent).forEach(this::hearSuspects);
    logSharers();
    long nowMillis = timer.nowMillis();
    lease = lease.afterRead(leaseRow, leaseVersion, nowMillis);
    boolean own = lease.isHeldBy(self.writer());
    if (readFailed && !own) {
      lease = lease.afterOutage(nowMillis);
    }
    if (!own && peers.releaseOf(lease.epoch()).isPresent()) {
      lease = lease.afterRelease();
    }
    readFailed = false;
  }

  /** Takes what a row tells of an entry that does not tell it itself. */
  private void hearSuspects(String writer, Members.Row row) {
    if (!writer.equals(self.writer()) && !peers.liveEntryIds().contains(writer)) {
      suspects.mergeCrashes(writer, row.crashes());
    }
  }

  private void logSharers() {
    int sharers = members.sharers();
    if (sharers != sharersLogged) {
      sharersLogged = sharers;
      log.stateChange(
          "sharers_changed", field("sharers", sharers), field("live", members.live().size()));
    }
  }

  // -- the lease

  private Optional<LeaseRow> renewal() {
    return stopped
        ? Optional.empty()
        : lease.nextWrite(self.writer(), DUTY, LEASE_MILLIS, token(), timer.nowMillis());
  }

  /** Writes the lease and other rows, on condition that the lease's row is unchanged. */
  private CompletableFuture<Boolean> write(
      Optional<LeaseRow> row, List<RowTransaction.Write> others) {
    if (row.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    Moment sent = Moment.now(timer);
    List<RowTransaction.Write> writes = new ArrayList<>(others);
    writes.add(new RowTransaction.Write(FleetRows.LEASE_KEY, FleetRows.encodeLease(row.get())));
    RowTransaction transaction =
        new RowTransaction(
            List.of(new RowTransaction.Condition(FleetRows.LEASE_KEY, lease.revision())),
            writes,
            List.of());
    return store.commit(transaction).thenApply(commit -> written(commit, row.get(), sent));
  }

  private boolean written(StoreCommit commit, LeaseRow row, Moment sent) {
    return switch (commit) {
      case StoreCommit.Committed(long version, long storeMillis) -> {
        clock.sync(storeMillis);
        if (lease.epoch() != row.epoch()) {
          begin(row, sent.monotonicMillis());
        }
        lease = lease.afterWrite(row, version, sent.monotonicMillis());
        leaseAsOf = sent;
        yield true;
      }
      case StoreCommit.Conflict ignored -> notWritten("conflict");
      case StoreCommit.Refused(String detail) -> notWritten(detail);
      case StoreCommit.Unknown(String detail) -> notWritten(detail);
    };
  }

  /**
   * Begins to hold the lease. After a release the last holder may have acted a moment ago, and may
   * act again soon; so the first act waits, from when the release was heard. A lapse has made it
   * wait already.
   */
  private void begin(LeaseRow row, long sentMillis) {
    boolean released = lease.isHeldBy("");
    long releasedMillis =
        peers
            .releaseOf(lease.epoch())
            .map(PeerReports.Release::firstReceivedMillis)
            .orElse(sentMillis);
    actsFromMillis = released ? releasedMillis + self.settleMillis() : sentMillis;
    log.stateChange("lease_taken", field("epoch", row.epoch()), field("afterRelease", released));
  }

  private boolean notWritten(String cause) {
    log.stateChange("lease_not_written", field("epoch", lease.epoch()), field("cause", cause));
    return false;
  }

  private static String token() {
    return UUID.randomUUID().toString();
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
