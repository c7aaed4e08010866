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
 * Reports the usage of each window once.
 *
 * <p>Counts come from the rows of the entries and from what they told this one directly; of both,
 * the higher holds, since counts only grow. The figures are sealed in the store, under the
 * condition that the lease is still held, before they are sent; whoever sends them again after a
 * lost answer sends the same.
 */
final class UsageDuty {
  /** Time after a window's end after which missing entries are no longer waited for. */
  private static final long LONGEST_WAIT_MILLIS = 8_000;

  /** Time after a window's end after which its rows are removed. */
  private static final long KEPT_MILLIS = 40_000;

  /** Windows before the current one that are looked after. */
  private static final int WINDOWS_BACK = 5;

  private static final int MOST_REMOVALS = 40;

  private final DutyLoop.Identity self;
  private final FleetStore store;
  private final DutyClient calls;
  private final UsageCounts usage;
  private final Members members;
  private final PeerReports peers;
  private final EventLog log;
  private final long firstWindow;
  private final TreeSet<Long> taken = new TreeSet<>();

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
    this.calls = calls;
    this.usage = usage;
    this.members = members;
    this.peers = peers;
    this.log = log;
    this.firstWindow = usage.currentWindow() - 1;
  }

  /** What is known of one window. */
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

  /** Tells whether a window may be waiting for its report. */
  boolean isDue() {
    long current = usage.currentWindow();
    for (long window = Math.max(firstWindow, current - WINDOWS_BACK); window < current; window++) {
      if (!taken.contains(window) && usage.isClosed(window)) {
        return true;
      }
    }
    return false;
  }

  /** Reports what is complete, and sends again what has not been taken. */
  CompletableFuture<Void> act(RowPage page, HeldLease right) {
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
    windows.forEach(this::addDirect);
    CompletableFuture<Void> steps = done();
    for (FleetRows.ReportRow report : reports.values()) {
      if (report.taken()) {
        taken.add(report.window());
      } else {
        steps = steps.thenCompose(before -> send(report.window(), report.counts(), right));
      }
    }
    for (Map.Entry<Long, Window> each : windows.entrySet()) {
      if (!reports.containsKey(each.getKey()) && complete(each.getKey(), each.getValue())) {
        steps = steps.thenCompose(before -> seal(each.getKey(), each.getValue(), right));
      }
    }
    return steps.thenCompose(before -> sweep(windows, reports, page));
  }

  private static void add(Map<Long, Window> windows, StoredRow row, FleetRows.UsageRow usageRow) {
    Window window = windows.computeIfAbsent(usageRow.window(), key -> new Window());
    window.add(usageRow.entry(), usageRow.counts());
    window.keys.add(row.key());
    if (usageRow.closed()) {
      window.closedBy.add(usageRow.entry());
    }
  }

  /** Adds what the entries told directly, and this entry's own counts. */
  private void addDirect(long number, Window window) {
    peers.usageByEntry(number).forEach(window::add);
    window.closedBy.addAll(peers.entriesWithClosed(number));
    window.add(self.writer(), usage.counts(number));
    if (usage.isClosed(number)) {
      window.closedBy.add(self.writer());
    }
  }

  private boolean complete(long number, Window window) {
    if (!usage.isClosed(number)) {
      return false;
    }
    Set<String> expected = new HashSet<>(members.live());
    expected.addAll(peers.liveEntryIds());
    return usage.sinceEndMillis(number) > LONGEST_WAIT_MILLIS
        || window.closedBy.containsAll(expected);
  }

  private CompletableFuture<Void> seal(long number, Window window, HeldLease right) {
    if (!right.stillHeld().getAsBoolean()) {
      return done();
    }
    Map<String, Long> sums = window.sums();
    RowTransaction write =
        new RowTransaction(
            List.of(
                new RowTransaction.Condition(FleetRows.LEASE_KEY, right.rowVersion()),
                new RowTransaction.Condition(FleetRows.reportKey(number), 0)),
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(number), FleetRows.encodeReport(false, sums))),
            List.of());
    return store
        .commit(write)
        .thenCompose(
            commit -> {
              if (commit instanceof StoreCommit.Committed) {
                return send(number, sums, right);
              }
              log.stateChange(
                  "usage_not_sealed", field("window", number), field("cause", commit.toString()));
              return done();
            });
  }

  private CompletableFuture<Void> send(long number, Map<String, Long> counts, HeldLease right) {
    if (!right.stillHeld().getAsBoolean()) {
      return done();
    }
    return calls
        .reportUsage(self.name(), right.epoch(), number, counts)
        .thenCompose(
            reply -> {
              log.stateChange(
                  "usage_reported",
                  field("window", number),
                  field("epoch", right.epoch()),
                  field("requests", counts.values().stream().mapToLong(Long::longValue).sum()),
                  field("sinceEndMillis", usage.sinceEndMillis(number)),
                  field("outcome", reply.toString()));
              return reply instanceof DutyReply.Taken ? markTaken(number, counts) : done();
            });
  }

  private CompletableFuture<Void> markTaken(long number, Map<String, Long> counts) {
    taken.add(number);
    RowTransaction write =
        RowTransaction.of(
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(number), FleetRows.encodeReport(true, counts))));
    return store.commit(write).thenCompose(commit -> done());
  }

  /** Removes the rows of windows that were reported long ago, and of entries that are gone. */
  private CompletableFuture<Void> sweep(
      TreeMap<Long, Window> windows, TreeMap<Long, FleetRows.ReportRow> reports, RowPage page) {
    List<String> removals = new ArrayList<>();
    windows.forEach(
        (number, window) -> {
          if (usage.sinceEndMillis(number) > KEPT_MILLIS) {
            removals.addAll(window.keys);
          }
        });
    reports.forEach(
        (number, report) -> {
          if (report.taken() && usage.sinceEndMillis(number) > 2 * KEPT_MILLIS) {
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
    List<String> some = removals.subList(0, Math.min(MOST_REMOVALS, removals.size()));
    return store
        .commit(new RowTransaction(List.of(), List.of(), some))
        .thenCompose(commit -> done());
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
