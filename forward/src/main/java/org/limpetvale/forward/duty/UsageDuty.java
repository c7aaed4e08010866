package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.DutyCalls;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Reports the usage of each window once.
 *
 * <p>The figures are sealed in the store, under the condition that the lease is still held, before
 * they are sent; whoever sends them again after a lost answer sends the same.
 */
final class UsageDuty {
  /** Time after a window's end after which missing entries are no longer waited for. */
  private static final long LONGEST_WAIT_MILLIS = 6_000;

  /** Time after a window's end after which its rows are removed. */
  private static final long KEPT_MILLIS = 40_000;

  private static final int MOST_REMOVALS = 40;

  private final String holder;
  private final FleetStore store;
  private final DutyCalls calls;
  private final UsageCounts usage;
  private final Members members;
  private final EventLog log;

  UsageDuty(
      String holder,
      FleetStore store,
      DutyCalls calls,
      UsageCounts usage,
      Members members,
      EventLog log) {
    this.holder = holder;
    this.store = store;
    this.calls = calls;
    this.usage = usage;
    this.members = members;
    this.log = log;
  }

  /**
   * The right to act.
   *
   * @param leaseVersion version of the lease's row
   * @param epoch fencing number
   * @param stands tells whether the lease is still held
   */
  record Right(long leaseVersion, long epoch, BooleanSupplier stands) {}

  /** What the rows say of one window. */
  private static final class Window {
    private final Map<String, Long> sums = new TreeMap<>();
    private final Set<String> closedBy = new HashSet<>();
    private final List<String> keys = new ArrayList<>();
  }

  CompletableFuture<Void> act(RowPage page, Right right) {
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
    CompletableFuture<Void> steps = CompletableFuture.completedFuture(null);
    for (FleetRows.ReportRow report : reports.values()) {
      if (!report.taken()) {
        steps = steps.thenCompose(done -> send(report.window(), report.counts(), right));
      }
    }
    for (Map.Entry<Long, Window> each : windows.entrySet()) {
      if (!reports.containsKey(each.getKey()) && complete(each.getKey(), each.getValue())) {
        steps = steps.thenCompose(done -> seal(each.getKey(), each.getValue(), right));
      }
    }
    return steps.thenCompose(done -> sweep(windows, reports, page));
  }

  private static void add(Map<Long, Window> windows, StoredRow row, FleetRows.UsageRow usageRow) {
    Window window = windows.computeIfAbsent(usageRow.window(), key -> new Window());
    usageRow.counts().forEach((name, count) -> window.sums.merge(name, count, Long::sum));
    window.keys.add(row.key());
    if (usageRow.closed()) {
      window.closedBy.add(usageRow.entry());
    }
  }

  private boolean complete(long number, Window window) {
    long sinceEnd = usage.sinceEndMillis(number);
    return sinceEnd > 0
        && (sinceEnd > LONGEST_WAIT_MILLIS || window.closedBy.containsAll(members.live()));
  }

  private CompletableFuture<Void> seal(long window, Window figures, Right right) {
    if (!right.stands().getAsBoolean()) {
      return done();
    }
    RowTransaction write =
        new RowTransaction(
            List.of(
                new RowTransaction.Condition(FleetRows.LEASE_KEY, right.leaseVersion()),
                new RowTransaction.Condition(FleetRows.reportKey(window), 0)),
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(window), FleetRows.report(false, figures.sums))),
            List.of());
    return store
        .commit(write)
        .thenCompose(
            commit -> {
              if (commit instanceof StoreCommit.Committed) {
                return send(window, figures.sums, right);
              }
              log.change(
                  "usage_not_sealed", field("window", window), field("cause", commit.toString()));
              return done();
            });
  }

  private CompletableFuture<Void> send(long window, Map<String, Long> counts, Right right) {
    if (!right.stands().getAsBoolean()) {
      return done();
    }
    return calls
        .reportUsage(holder, right.epoch(), window, counts)
        .thenCompose(
            reply -> {
              log.change(
                  "usage_reported",
                  field("window", window),
                  field("epoch", right.epoch()),
                  field("requests", counts.values().stream().mapToLong(Long::longValue).sum()),
                  field("outcome", reply.toString()));
              return reply instanceof DutyReply.Taken ? markTaken(window, counts) : done();
            });
  }

  private CompletableFuture<Void> markTaken(long window, Map<String, Long> counts) {
    RowTransaction write =
        RowTransaction.of(
            List.of(
                new RowTransaction.Write(
                    FleetRows.reportKey(window), FleetRows.report(true, counts))));
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
          && members.forgotten(row.key().substring(FleetRows.MEMBER_PREFIX.length()))) {
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
