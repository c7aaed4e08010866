package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
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
 * Writes this entry's rows, reads those of the other entries, and performs the duties while this
 * entry holds their lease. Must be used on the event loop only.
 *
 * <p>The holder renews the lease every round. Contenders read the rows every second round. Every
 * entry runs a round when a usage window has closed, so that its counts reach the store soon. After
 * an outage of the store, the other entries wait for a full lease duration again, since the holder
 * could not renew either.
 */
public final class DutyLoop {
  private static final long PERIOD_MILLIS = 1_000;

  /** Number of rounds between two reads by a contender. Other entries read less often. */
  private static final int CONTENDER_ROUND_INTERVAL = 2;

  private static final int MAX_CONTENDERS = 3;

  /**
   * Identifies this entry's process as a holder of the duty lease.
   *
   * @param name name of this entry's VM
   * @param bootId id of this process
   * @param peerAddress address on which this entry receives peer reports
   * @param settleMillis minimum time that the platform requires between actions of two holders
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
  private final UnreadableRows unreadable;
  private final DutyLease lease;
  private long releasedEpoch;
  private TimerService.Subscription expiryCheck = () -> {};
  private long heartbeat;
  private long rounds;

  /** The newest closed usage window at the start of the last round. */
  private long writtenWindow;

  /** The last logged number of entries that share the retry budget. */
  private int lastLoggedSharers;

  /** Whether the last write of this entry's own rows was confirmed. */
  private boolean ownRowWritten;

  /** Era of the store in which this entry's rows were last written. */
  private long ownRowsEra;

  private Consumer<Boolean> firstReadAction = eraIsRecent -> {};
  private boolean hasRead;
  private boolean readFailed;
  private boolean roundRunning;
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
    this.unreadable = new UnreadableRows(log);
    this.lease = new DutyLease(self, usage, peers, unreadable, timer, log);
    this.usageDuty = new UsageDuty(self, store, calls, usage, members, peers, unreadable, log);
  }

  /** Creates a loop that has not been started. */
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

  /**
   * Sets the action that runs after the first read of the rows of all entries. It receives whether
   * the store may have come back from an older copy a moment ago.
   */
  public void setFirstReadAction(Consumer<Boolean> action) {
    firstReadAction = Objects.requireNonNull(action, "action is null");
  }

  /** Runs the first round and starts the periodic ones. */
  public void start() {
    scaling.start();
    runNow();
    timer.every(PERIOD_MILLIS, this::nextRound);
  }

  /**
   * Runs a round at once, for example when the store is available again. Does nothing while a round
   * is running or after a stop.
   */
  public void runNow() {
    if (!roundRunning && !stopped) {
      round();
    }
  }

  /**
   * Writes the remaining usage counts, marks this entry as having left and releases the lease.
   *
   * @return whether the store confirmed the write; never completes exceptionally
   */
  public CompletableFuture<Boolean> stop() {
    stopped = true;
    releasedEpoch = lease.ownEpoch();
    List<RowTransaction.Write> writes = usageRows(true);
    Optional<RowTransaction> release = lease.release(storeEra());
    release.ifPresent(each -> writes.addAll(each.writes()));
    writes.add(
        new RowTransaction.Write(
            FleetRows.memberKey(self.writer()), FleetRows.encodeDeparture(suspects)));
    return store
        .commit(
            new RowTransaction(
                release.map(RowTransaction::conditions).orElse(List.of()), writes, List.of()))
        .thenApply(
            commit -> {
              log.stateChange("duties_left", field("outcome", commit.toString()));
              return commit instanceof StoreCommit.Committed;
            });
  }

  /** Returns the fencing token of the lease that this entry has released; 0 if there is none. */
  public long releasedEpoch() {
    return releasedEpoch;
  }

  private void nextRound() {
    rounds++;
    boolean readsNow = (isContender() || !ownRowWritten) && rounds % CONTENDER_ROUND_INTERVAL == 0;
    boolean rowsMayBeLost = storeEra() > ownRowsEra;
    if (lease.isHeld() || readsNow || rowsMayBeLost || usage.closedWindow() > writtenWindow) {
      runNow();
    }
  }

  private boolean isContender() {
    return members.countBefore(self.writer()) < MAX_CONTENDERS;
  }

  private void round() {
    roundRunning = true;
    writtenWindow = usage.closedWindow();
    steps()
        .whenComplete(
            (done, failure) -> {
              roundRunning = false;
              if (failure != null) {
                log.stateChange("duty_round_failed", field("cause", failure.toString()));
              }
            });
  }

  /** Starts the steps of a round; an exception while they start fails them, too. */
  private CompletableFuture<Void> steps() {
    return done()
        .thenCompose(
            ignored ->
                lease.isHeld() && storeEra() == ownRowsEra
                    ? holderRound()
                    : writeOwnRows()
                        .thenCompose(commit -> readAll())
                        .thenCompose(this::restoreReports)
                        .thenCompose(this::tryTakeOver));
  }

  private CompletableFuture<Void> holderRound() {
    Moment sentAt = Moment.now(timer);
    long era = storeEra();
    Optional<DutyLease.Write> write = lease.nextWrite(ownRows(), usageDuty.firstUnsealedWindow());
    if (write.isEmpty()) {
      return done();
    }
    return commitLease(write.get())
        .thenCompose(
            leaseHeld -> {
              ownRowsWritten(leaseHeld, era, sentAt);
              return leaseHeld ? performDuties() : done();
            });
  }

  /** Writes the sealed reports again that the store has lost with a return from an older copy. */
  private CompletableFuture<Optional<RowPage>> restoreReports(Optional<RowPage> page) {
    return page.isPresent() && (isContender() || lease.wasHeldInEarlierEra())
        ? usageDuty.restoreLostReports(page.get()).thenApply(ignored -> page)
        : CompletableFuture.completedFuture(page);
  }

  private CompletableFuture<Void> tryTakeOver(Optional<RowPage> page) {
    if (page.isEmpty()) {
      return done();
    }
    Optional<DutyLease.Write> write =
        stopped ? Optional.empty() : lease.nextWrite(List.of(), usageDuty.firstUnsealedWindow());
    if (write.isEmpty()) {
      scheduleExpiryCheck();
      return done();
    }
    return commitLease(write.get())
        .thenCompose(leaseHeld -> leaseHeld ? performDutiesWith(page) : done());
  }

  /** Schedules a round for when the lease expires, if that is before the next periodic one. */
  private void scheduleExpiryCheck() {
    long remainingMillis = lease.remainingMillis();
    expiryCheck.cancel();
    if (isContender() && remainingMillis <= CONTENDER_ROUND_INTERVAL * PERIOD_MILLIS) {
      expiryCheck = timer.after(Math.max(0, remainingMillis), this::runNow);
    }
  }

  private CompletableFuture<Void> performDuties() {
    return usageDuty.isDue()
        ? readAll().thenCompose(this::performDutiesWith)
        : performDutiesWith(Optional.empty());
  }

  /** Performs the duties. Usage is reported only if the rows of all entries are given. */
  private CompletableFuture<Void> performDutiesWith(Optional<RowPage> page) {
    Optional<HeldLease> held = lease.held(this::mayAct);
    if (held.isEmpty()) {
      return done();
    }
    return page.map(rows -> reportUsage(rows, held.get()))
        .orElseGet(DutyLoop::done)
        .thenCompose(ignored -> scaling.act(held.get()));
  }

  private CompletableFuture<Void> reportUsage(RowPage page, HeldLease held) {
    return usageDuty.restoreLostReports(page).thenCompose(ignored -> usageDuty.act(page, held));
  }

  private boolean mayAct() {
    return !stopped && lease.isHeld();
  }

  private long storeEra() {
    return store.newestVersion().era();
  }

  private CompletableFuture<StoreCommit> writeOwnRows() {
    Moment sentAt = Moment.now(timer);
    long era = storeEra();
    return store
        .commit(RowTransaction.of(ownRows()))
        .thenApply(
            commit -> {
              ownRowsWritten(commit instanceof StoreCommit.Committed, era, sentAt);
              return commit;
            });
  }

  /**
   * Records the outcome of a write of this entry's rows.
   *
   * @param era era of the store when the rows were collected
   */
  private void ownRowsWritten(boolean confirmed, long era, Moment sentAt) {
    ownRowWritten = confirmed;
    if (confirmed) {
      ownRowsEra = era;
      members.recordRenewal(sentAt);
    }
  }

  private List<RowTransaction.Write> ownRows() {
    List<RowTransaction.Write> writes = usageRows(false);
    writes.add(
        new RowTransaction.Write(
            FleetRows.memberKey(self.writer()),
            FleetRows.encodeMember(self.peerAddress(), ++heartbeat, suspects)));
    return writes;
  }

  private List<RowTransaction.Write> usageRows(boolean last) {
    List<RowTransaction.Write> writes = new ArrayList<>();
    long current = usage.currentWindow();
    long first = storeEra() > ownRowsEra ? usage.oldestWindow() : current - 1;
    for (long window = first; window <= current; window++) {
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
    Moment sentAt = Moment.now(timer);
    return store.read(RowTable.FLEET, "", "").thenApply(read -> pageOf(read, sentAt));
  }

  private Optional<RowPage> pageOf(StoreRead read, Moment sentAt) {
    if (read instanceof StoreRead.Page found) {
      applyPage(found.page(), sentAt);
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

  private void applyPage(RowPage page, Moment sentAt) {
    clock.sync(page.storeMillis(), sentAt);
    Map<String, Members.Row> rows = new HashMap<>();
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(FleetRows.MEMBER_PREFIX)) {
        String writer = row.key().substring(FleetRows.MEMBER_PREFIX.length());
        rows.put(writer, parseMember(row));
      }
    }
    members.recordRead(rows, page.version(), sentAt).forEach(this::mergeSuspects);
    logSharers();
    lease.applyPage(page, readFailed);
    if (!hasRead) {
      hasRead = true;
      firstReadAction.accept(lease.isEraRecent());
    }
    usageDuty.learn(page);
    readFailed = false;
  }

  private Members.Row parseMember(StoredRow row) {
    Optional<Members.Row> member = FleetRows.parseMember(row.version(), row.text());
    if (member.isEmpty()) {
      unreadable.log(row);
    }
    return member.orElseGet(() -> Members.Row.unreadable(row.version()));
  }

  /**
   * Merges the suspects from the row of an entry that does not report them to this one directly.
   */
  private void mergeSuspects(String writer, Members.Row row) {
    if (!writer.equals(self.writer()) && !peers.liveEntryIds().contains(writer)) {
      suspects.mergeSuspects(writer, row.suspects());
    }
  }

  private void logSharers() {
    int sharers = members.sharers();
    if (sharers != lastLoggedSharers) {
      lastLoggedSharers = sharers;
      log.stateChange(
          "sharers_changed", field("sharers", sharers), field("live", members.live().size()));
    }
  }

  private CompletableFuture<Boolean> commitLease(DutyLease.Write write) {
    Moment sentAt = Moment.now(timer);
    return store
        .commit(write.transaction())
        .thenApply(
            commit -> {
              if (commit instanceof StoreCommit.Committed(var version, long storeMillis)) {
                clock.sync(storeMillis, sentAt);
              }
              return lease.written(commit, write, sentAt);
            });
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
