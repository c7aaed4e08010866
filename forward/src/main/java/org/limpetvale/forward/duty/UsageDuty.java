package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
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
  private final EventLog log;
  private final long firstWindow;
  private final TreeSet<Long> acceptedWindows = new TreeSet<>();

  UsageDuty(
      DutyLoop.Identity self,
      FleetStore store,
      DutyClient calls,
      UsageCounts usage,
      Members members,
      PeerReports peers,
      EventLog log) {
    this.self = self;
    this.store = store;
    this.client = calls;
    this.usage = usage;
    this.members = members;
    this.peers = peers;
    this.log = log;
    this.firstWindow = usage.currentWindow() - 1;
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
    for (long window = Math.max(firstWindow, current - PENDING_WINDOWS);
        window < current;
        window++) {
      if (!acceptedWindows.contains(window) && usage.isClosed(window)) {
        return true;
      }
    }
    return false;
  }

  /** Reports the complete windows and resends reports that have not been accepted. */
  CompletableFuture<Void> act(RowPage page, HeldLease lease) {
    TreeMap<Long, Window> windows = new TreeMap<>();
    TreeMap<Long, FleetRows.ReportRow> reports = new TreeMap<>();
    for (StoredRow row : page.rows()) {
      if (row.key().startsWith(FleetRows.USAGE_PREFIX)) {
        FleetRows.parseUsage(row.key(), row.text()).ifPresent(each -> add(windows, row, each));
      } else if (row.key().startsWith(FleetRows.REPORT_PREFIX)) {
        FleetRows.parseReport(row.key(), row.text())
            .ifPresent(each -> reports.put(each.window(), each));
      }
    }
    windows.forEach(this::addDirectReports);
    CompletableFuture<Void> steps = done();
    for (FleetRows.ReportRow report : reports.values()) {
      if (report.accepted()) {
        acceptedWindows.add(report.window());
      } else {
        steps = steps.thenCompose(ignored -> send(report.window(), report.counts(), lease));
      }
    }
    for (Map.Entry<Long, Window> each : windows.entrySet()) {
      if (!reports.containsKey(each.getKey()) && isComplete(each.getKey(), each.getValue())) {
        steps = steps.thenCompose(ignored -> seal(each.getKey(), each.getValue(), lease));
      }
    }
    return steps.thenCompose(ignored -> removeObsoleteRows(windows, reports, page));
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
    Map<String, Long> sums = window.sums();
    RowTransaction write =
        new RowTransaction(
            List.of(
                new RowTransaction.Condition(FleetRows.LEASE_KEY, lease.rowVersion()),
                new RowTransaction.Condition(FleetRows.reportKey(number), 0)),
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(number), FleetRows.encodeReport(false, sums))),
            List.of());
    return store
        .commit(write)
        .thenCompose(
            commit -> {
              log.stateChange(
                  "usage_sealed",
                  field("window", number),
                  field("epoch", lease.epoch()),
                  field("leaseVersion", lease.rowVersion()),
                  field("sinceEndMillis", usage.sinceEndMillis(number)),
                  field("requests", sums.values().stream().mapToLong(Long::longValue).sum()),
                  field("outcome", commit.toString()));
              if (commit instanceof StoreCommit.Committed) {
                return send(number, sums, lease);
              }
              return done();
            });
  }

  private CompletableFuture<Void> send(long number, Map<String, Long> counts, HeldLease lease) {
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
              return reply instanceof DutyReply.Taken ? markAccepted(number, counts) : done();
            });
  }

  private CompletableFuture<Void> markAccepted(long number, Map<String, Long> counts) {
    acceptedWindows.add(number);
    RowTransaction write =
        RowTransaction.of(
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(number), FleetRows.encodeReport(true, counts))));
    return store.commit(write).thenCompose(commit -> done());
  }

  /** Removes the rows of old windows, of old accepted reports and of forgotten entries. */
  private CompletableFuture<Void> removeObsoleteRows(
      TreeMap<Long, Window> windows, TreeMap<Long, FleetRows.ReportRow> reports, RowPage page) {
    List<String> removals = new ArrayList<>();
    windows.forEach(
        (number, window) -> {
          if (usage.sinceEndMillis(number) > RETENTION_MILLIS) {
            removals.addAll(window.keys);
          }
        });
    reports.forEach(
        (number, report) -> {
          if (report.accepted() && usage.sinceEndMillis(number) > 2 * RETENTION_MILLIS) {
            removals.add(FleetRows.reportKey(number));
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
