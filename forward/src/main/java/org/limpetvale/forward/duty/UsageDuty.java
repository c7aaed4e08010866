package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Reports the usage of each window to the platform once.
 *
 * <p>Counts come from the entries' rows and from reports that entries send directly to this one.
 * The higher value of the two is used, since counts only grow. Before they are sent, the final
 * counts are sealed in the store on condition that the lease row is unchanged, so that a resend
 * after a lost response carries the same counts, whichever entry sends it.
 */
final class UsageDuty {
  /** Time after the end of a window for which the counts of missing entries are awaited. */
  private static final long MAX_WAIT_MILLIS = 8_000;

  /**
   * Time after the end of a window for which its usage rows are kept. Its accepted report is kept
   * for twice as long.
   */
  private static final long RETENTION_MILLIS = 40_000;

  /** Number of windows before the current one that are checked for a missing report. */
  private static final int PENDING_WINDOWS = 5;

  private static final int MAX_REMOVALS = 40;

  private final DutyLoop.Identity self;
  private final FleetStore store;
  private final DutyClient client;
  private final UsageCounts usage;
  private final Members members;
  private final PeerReports peers;
  private final UnreadableRows unreadable;
  private final EventLog log;
  private final long bootWindow;
  private final SealedReports known = new SealedReports();

  /** First window that may be sealed, as far as this entry knew when it last held the lease. */
  private long firstWindow;

  UsageDuty(
      DutyLoop.Identity self,
      FleetStore store,
      DutyClient calls,
      UsageCounts usage,
      Members members,
      PeerReports peers,
      UnreadableRows unreadable,
      EventLog log) {
    this.self = self;
    this.store = store;
    this.client = calls;
    this.usage = usage;
    this.members = members;
    this.peers = peers;
    this.unreadable = unreadable;
    this.log = log;
    this.bootWindow = usage.currentWindow() - 1;
  }

  /** The counts collected for one window. */
  private static final class Window {
    private final Map<String, Map<String, Long>> byWriter = new HashMap<>();
    private final Set<String> closedBy = new HashSet<>();
    private final List<String> keys = new ArrayList<>();

    void add(String writer, Map<String, Long> counts) {
      Map<String, Long> known = byWriter.computeIfAbsent(writer, key -> new HashMap<>());
      counts.forEach((workspace, count) -> known.merge(workspace, count, Long::max));
    }

    Map<String, Long> sums() {
      Map<String, Long> sums = new TreeMap<>();
      byWriter
          .values()
          .forEach(counts -> counts.forEach((name, count) -> sums.merge(name, count, Long::sum)));
      return sums;
    }
  }

  /** Decides whether a closed window may still have to be reported. */
  boolean isDue() {
    long current = usage.currentWindow();
    long first = Math.max(Math.max(bootWindow, firstWindow), current - PENDING_WINDOWS);
    for (long window = first; window < current; window++) {
      if (!known.isAccepted(window) && usage.isClosed(window)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first window behind those that this entry knows to be sealed. */
  long firstUnsealedWindow() {
    return known.firstUnsealedWindow();
  }

  /** Remembers the sealed reports among the rows of all entries. */
  void learn(RowPage page) {
    known.learn(reportsOf(page), page.version().era());
    long retainedWindows = 2 * RETENTION_MILLIS / usage.windowMillis() + 1;
    known.removeBefore(usage.currentWindow() - retainedWindows);
  }

  private List<FleetRows.ReportRow> reportsOf(RowPage page) {
    return readable(page, FleetRows.REPORT_PREFIX, FleetRows::parseReport).values().stream()
        .toList();
  }

  /** Parses the rows whose keys have a prefix, and logs and skips the unreadable ones. */
  private <T> Map<StoredRow, T> readable(
      RowPage page, String prefix, BiFunction<String, String, Optional<T>> parser) {
    Map<StoredRow, T> values = new LinkedHashMap<>();
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(prefix)) {
        parser
            .apply(row.key(), row.text())
            .ifPresentOrElse(value -> values.put(row, value), () -> unreadable.log(row));
      }
    }
    return values;
  }

  /**
   * Writes the sealed reports again that the store no longer has because it has come back from an
   * older copy, unless another entry was faster.
   */
  CompletableFuture<Void> restoreLostReports(RowPage page) {
    long era = page.version().era();
    CompletableFuture<Void> steps = done();
    for (FleetRows.ReportRow lost : known.lostBefore(era)) {
      StoreVersion present = versionOf(FleetRows.reportKey(lost.window()), page);
      steps = steps.thenCompose(ignored -> restore(lost.withEra(era), present));
    }
    return steps;
  }

  private static StoreVersion versionOf(String key, RowPage page) {
    return page.rows().stream()
        .filter(row -> row.key().equals(key))
        .map(StoredRow::version)
        .findFirst()
        .orElse(StoreVersion.absentIn(page.version().era()));
  }

  /** Writes a report if the version of its row has not changed. */
  private CompletableFuture<Void> restore(FleetRows.ReportRow report, StoreVersion present) {
    String key = FleetRows.reportKey(report.window());
    RowTransaction write =
        new RowTransaction(
            List.of(new RowTransaction.Condition(key, present)),
            List.of(new RowTransaction.Write(key, FleetRows.encodeReport(report))),
            List.of());
    return store
        .commit(write)
        .thenAccept(
            commit -> {
              log.stateChange(
                  "usage_report_restored",
                  field("window", report.window()),
                  field("accepted", report.accepted()),
                  field("outcome", commit.toString()));
              if (commit instanceof StoreCommit.Committed) {
                known.sealed(report, report.era());
              }
            });
  }

  /** Reports the complete windows and resends reports that have not been accepted. */
  CompletableFuture<Void> act(RowPage page, HeldLease lease) {
    firstWindow = lease.firstWindow();
    TreeMap<Long, Window> windows = new TreeMap<>();
    readable(page, FleetRows.USAGE_PREFIX, FleetRows::parseUsage)
        .forEach((row, each) -> add(windows, row, each));
    windows.forEach(this::addDirectReports);
    List<FleetRows.ReportRow> reports = reportsOf(page);
    CompletableFuture<Void> steps = done();
    for (FleetRows.ReportRow report : reports) {
      if (!report.accepted()) {
        steps = steps.thenCompose(ignored -> resend(report, lease));
      }
    }
    for (Map.Entry<Long, Window> each : windows.entrySet()) {
      if (maySeal(each.getKey(), lease) && isComplete(each.getKey(), each.getValue())) {
        steps = steps.thenCompose(ignored -> seal(each.getKey(), each.getValue(), lease));
      }
    }
    return steps
        .thenCompose(ignored -> removeObsoleteRows(windows, page))
        .thenCompose(ignored -> removeOldReports(reports, lease));
  }

  /**
   * Returns whether no other counts of a window can have been reported. The report of an old window
   * may have been removed, and a holder before the era may have reported one that ended before it.
   */
  private boolean maySeal(long number, HeldLease lease) {
    return number >= lease.firstWindow()
        && usage.sinceEndMillis(number) <= RETENTION_MILLIS
        && !known.isSealed(number);
  }

  /**
   * Sends a sealed report again if it holds the counts that this entry knows, from this era or from
   * before it. Any other may have been written late by a holder of an earlier era, when other
   * counts had been sent.
   */
  private CompletableFuture<Void> resend(FleetRows.ReportRow report, HeldLease lease) {
    long window = report.window();
    boolean trusted = report.era() == lease.era() || known.isKnownBefore(window, lease.era());
    if (!trusted
        || known.isAccepted(window)
        || known.counts(window).filter(report.counts()::equals).isEmpty()) {
      log.stateChange("usage_report_not_resent", field("window", report.window()));
      return done();
    }
    return send(report, lease);
  }

  private static void add(Map<Long, Window> windows, StoredRow row, FleetRows.UsageRow usageRow) {
    Window window = windows.computeIfAbsent(usageRow.window(), key -> new Window());
    window.add(usageRow.entry(), usageRow.counts());
    window.keys.add(row.key());
    if (usageRow.closed()) {
      window.closedBy.add(usageRow.entry());
    }
  }

  /** Adds the counts that entries reported directly and this entry's own counts. */
  private void addDirectReports(long number, Window window) {
    peers.usageByEntry(number).forEach(window::add);
    window.closedBy.addAll(peers.entriesWithClosed(number));
    window.add(self.writer(), usage.counts(number));
    if (usage.isClosed(number)) {
      window.closedBy.add(self.writer());
    }
  }

  private boolean isComplete(long number, Window window) {
    if (!usage.isClosed(number)) {
      return false;
    }
    Set<String> expected = new HashSet<>(members.live());
    expected.addAll(peers.liveEntryIds());
    return usage.sinceEndMillis(number) > MAX_WAIT_MILLIS || window.closedBy.containsAll(expected);
  }

  private CompletableFuture<Void> seal(long number, Window window, HeldLease lease) {
    if (!lease.stillHeld().getAsBoolean()) {
      return done();
    }
    Map<String, Long> sums = known.counts(number).orElseGet(window::sums);
    FleetRows.ReportRow report = new FleetRows.ReportRow(number, false, sums, lease.era());
    RowTransaction write =
        new RowTransaction(
            lease.conditionsWith(
                new RowTransaction.Condition(
                    FleetRows.reportKey(number), StoreVersion.absentIn(lease.era()))),
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(number), FleetRows.encodeReport(report))),
            List.of());
    return store
        .commit(write)
        .thenCompose(
            commit -> {
              log.stateChange(
                  "usage_sealed",
                  field("window", number),
                  field("epoch", lease.epoch()),
                  field("era", lease.era()),
                  field("sinceEndMillis", usage.sinceEndMillis(number)),
                  field("requests", sums.values().stream().mapToLong(Long::longValue).sum()),
                  field("outcome", commit.toString()));
              return sealAnswered(commit, report, lease);
            });
  }

  private CompletableFuture<Void> sealAnswered(
      StoreCommit commit, FleetRows.ReportRow report, HeldLease lease) {
    return switch (commit) {
      case StoreCommit.Committed ignored -> {
        known.sealed(report, lease.era());
        yield send(report, lease);
      }
      case StoreCommit.Unknown ignored -> {
        known.maybeSealed(report, lease.era());
        yield done();
      }
      case StoreCommit.Conflict ignored -> done();
      case StoreCommit.Refused ignored -> done();
    };
  }

  private CompletableFuture<Void> send(FleetRows.ReportRow report, HeldLease lease) {
    long number = report.window();
    Map<String, Long> counts = report.counts();
    if (!lease.stillHeld().getAsBoolean()) {
      return done();
    }
    return client
        .reportUsage(self.name(), lease.epoch(), number, counts)
        .thenCompose(
            reply -> {
              log.stateChange(
                  "usage_reported",
                  field("window", number),
                  field("epoch", lease.epoch()),
                  field("requests", counts.values().stream().mapToLong(Long::longValue).sum()),
                  field("sinceEndMillis", usage.sinceEndMillis(number)),
                  field("outcome", reply.toString()));
              return reply instanceof DutyReply.Taken ? markAccepted(report) : done();
            });
  }

  private CompletableFuture<Void> markAccepted(FleetRows.ReportRow report) {
    known.accepted(report.window());
    RowTransaction write =
        RowTransaction.of(
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(report.window()),
                    FleetRows.encodeReport(report.withAccepted(true)))));
    return store.commit(write).thenCompose(commit -> done());
  }

  /**
   * Removes old accepted reports. As usage of their windows may still arrive, from an entry that
   * was suspended for instance, the row of the era says that they must not be sealed again.
   */
  private CompletableFuture<Void> removeOldReports(
      List<FleetRows.ReportRow> reports, HeldLease lease) {
    List<Long> removed =
        reports.stream()
            .filter(FleetRows.ReportRow::accepted)
            .map(FleetRows.ReportRow::window)
            .filter(window -> usage.sinceEndMillis(window) > 2 * RETENTION_MILLIS)
            .limit(MAX_REMOVALS)
            .toList();
    if (removed.isEmpty() || !lease.stillHeld().getAsBoolean()) {
      return done();
    }
    FleetRows.EraRow raised =
        lease.eraRow().withFirstWindow(Math.max(lease.firstWindow(), Collections.max(removed) + 1));
    RowTransaction write =
        new RowTransaction(
            lease.conditions(),
            List.of(
                new RowTransaction.Write(
                    FleetRows.eraKey(lease.era()), FleetRows.encodeEra(raised))),
            removed.stream().map(FleetRows::reportKey).toList());
    return store
        .commit(write)
        .thenAccept(
            commit -> {
              if (commit instanceof StoreCommit.Committed(StoreVersion version, long ignored)) {
                lease.marks().raised(version, raised);
              }
            });
  }

  /** Removes the rows of old windows and of forgotten entries. */
  private CompletableFuture<Void> removeObsoleteRows(TreeMap<Long, Window> windows, RowPage page) {
    List<String> removals = new ArrayList<>();
    windows.forEach(
        (number, window) -> {
          if (usage.sinceEndMillis(number) > RETENTION_MILLIS) {
            removals.addAll(window.keys);
          }
        });
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(FleetRows.MEMBER_PREFIX)
          && members.isForgotten(row.key().substring(FleetRows.MEMBER_PREFIX.length()))) {
        removals.add(row.key());
      }
    }
    if (removals.isEmpty()) {
      return done();
    }
    List<String> batch = removals.subList(0, Math.min(MAX_REMOVALS, removals.size()));
    return store
        .commit(new RowTransaction(List.of(), List.of(), batch))
        .thenCompose(commit -> done());
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
