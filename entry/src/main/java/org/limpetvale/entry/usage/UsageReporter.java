package org.limpetvale.entry.usage;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.core.usage.UsageBatch;
import org.limpetvale.core.usage.UsageFigures;
import org.limpetvale.core.usage.WindowRow;
import org.limpetvale.daemon.Ids;
import org.limpetvale.entry.control.FencedSender;
import org.limpetvale.entry.control.LeaseManager;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;
import org.limpetvale.ports.UsageSink;

/**
 * Seals and reports usage windows while this entry holds the lease for usage reporting.
 *
 * <p>A window is first closed, so that no batch can be added, then its batches are summed and the
 * figures are sealed in one transaction. Reports contain only sealed figures, so they are identical
 * regardless of sender and number of transmissions.
 */
public final class UsageReporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAGE_SIZE = 500;
  private static final int ROUNDS_PER_WINDOW = 4;
  private static final long MAX_PERIOD_MILLIS = 2000;
  private static final long COMMIT_TIMEOUT_MILLIS = 2000;

  /** Number of windows after which the batches of a reported window are deleted. */
  private static final long BATCH_RETENTION_WINDOWS = 200;

  private static final String CURSOR_KEY = "usage/cursor";

  private final LeaseManager lease;
  private final FencedSender sender;
  private final Table table;
  private final TransactionRunner commits;
  private final UsageSink sink;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final long windowMillis;

  /** Creates the reporter of one entry and schedules its periodic rounds. */
  public UsageReporter(
      LeaseManager lease,
      FencedSender sender,
      Table table,
      TransactionRunner commits,
      UsageSink sink,
      TimerService timer,
      MeterRegistry metrics,
      long windowMillis) {
    this.lease = Objects.requireNonNull(lease, "lease is null");
    this.sender = Objects.requireNonNull(sender, "sender is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.sink = Objects.requireNonNull(sink, "sink is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.windowMillis = windowMillis;
    timer.every(Math.min(MAX_PERIOD_MILLIS, windowMillis / ROUNDS_PER_WINDOW), this::runRound);
  }

  /**
   * The reporting progress.
   *
   * @param next first window not yet reported
   */
  private record Cursor(long next) {}

  /** Returns the lease for usage reporting. */
  public LeaseManager lease() {
    return lease;
  }

  private synchronized void runRound() {
    if (lease.held().isEmpty()) {
      return;
    }
    ReadResult<Optional<Row>> read = table.get(CURSOR_KEY);
    if (!(read instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return;
    }
    long current = timer.wallMillis() / windowMillis;
    Optional<Long> first =
        row.map(each -> JsonCodec.readStored(each.value(), Cursor.class).next())
            .or(this::firstWindowWithBatches);
    if (first.isEmpty()) {
      return;
    }
    long revision = row.map(Row::revision).orElse(0L);
    for (long window = first.get(); window < current - 1; window++) {
      if (!sealAndReport(window)) {
        return;
      }
      Optional<Long> newRevision = moveCursor(window + 1, revision);
      if (newRevision.isEmpty()) {
        return;
      }
      revision = newRevision.get();
      deleteBatches(window - BATCH_RETENTION_WINDOWS);
    }
  }

  /** Returns the first window that contains batches, where reporting starts. */
  private Optional<Long> firstWindowWithBatches() {
    return table
        .scan(UsageRows.BATCH_PREFIX, "", 1)
        .toOptional()
        .filter(rows -> !rows.isEmpty())
        .map(rows -> JsonCodec.readStored(rows.getFirst().value(), UsageRows.BatchRow.class))
        .map(row -> row.batch().window());
  }

  private Optional<Long> moveCursor(long next, long revision) {
    String value = JsonCodec.write(new Cursor(next));
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(CURSOR_KEY, revision, value),
            CURSOR_KEY,
            value::equals,
            COMMIT_TIMEOUT_MILLIS);
    return outcome instanceof TransactionRunner.Outcome.Applied(long newRevision)
        ? Optional.of(newRevision)
        : Optional.empty();
  }

  private boolean sealAndReport(long window) {
    Optional<WindowRow> sealed = seal(window);
    if (sealed.isEmpty()) {
      return false;
    }
    return sealed.get().figures().isEmpty() || report(sealed.get());
  }

  /** Returns the sealed window and seals it first if necessary; empty on failure. */
  private Optional<WindowRow> seal(long window) {
    String key = UsageRows.windowKey(window);
    if (!(table.get(key) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return Optional.empty();
    }
    Optional<WindowRow> stored =
        row.map(each -> JsonCodec.readStored(each.value(), WindowRow.class));
    if (stored.isPresent() && stored.get().sealed()) {
      return stored;
    }
    long revision;
    if (stored.isPresent()) {
      revision = row.get().revision();
    } else {
      Optional<Long> closed = write(key, 0, WindowRow.closed(window, Ids.next()));
      if (closed.isEmpty()) {
        return Optional.empty();
      }
      revision = closed.get();
    }
    return sum(window)
        .map(figures -> WindowRow.sealed(window, Ids.next(), figures))
        .filter(sealedRow -> write(key, revision, sealedRow).isPresent());
  }

  private Optional<Long> write(String key, long revision, WindowRow row) {
    Optional<LeaseManager.Held> held = lease.held();
    if (held.isEmpty()) {
      return Optional.empty();
    }
    Transaction transaction =
        new Transaction(
            List.of(
                new Transaction.Check(key, revision),
                new Transaction.Check(held.get().rowKey(), held.get().revision())),
            List.of(new Transaction.Put(key, JsonCodec.write(row))),
            List.of());
    TransactionRunner.Outcome outcome =
        commits.commit(
            transaction,
            key,
            value -> JsonCodec.readStored(value, WindowRow.class).token().equals(row.token()),
            COMMIT_TIMEOUT_MILLIS);
    return outcome instanceof TransactionRunner.Outcome.Applied(long applied)
        ? Optional.of(applied)
        : Optional.empty();
  }

  private Optional<Map<String, UsageFigures>> sum(long window) {
    List<UsageBatch> batches = new ArrayList<>();
    String after = "";
    while (true) {
      ReadResult<List<Row>> read = table.scan(UsageRows.batchPrefix(window), after, PAGE_SIZE);
      if (!(read instanceof ReadResult.Success<List<Row>>(List<Row> rows))) {
        return Optional.empty();
      }
      rows.forEach(
          row -> batches.add(JsonCodec.readStored(row.value(), UsageRows.BatchRow.class).batch()));
      if (rows.size() < PAGE_SIZE) {
        return Optional.of(UsageBatch.sum(batches));
      }
      after = rows.getLast().key();
    }
  }

  private boolean report(WindowRow window) {
    Optional<LeaseManager.Held> held = lease.held();
    if (held.isEmpty()) {
      return false;
    }
    Optional<FencedSender.Claimed> claimed =
        sender.claim(held.get(), OrderRow.Action.REPORT, String.valueOf(window.window()));
    if (claimed.isEmpty()) {
      return false;
    }
    boolean allAccepted = true;
    for (Map.Entry<String, UsageFigures> each : window.figures().entrySet()) {
      if (lease.held().isEmpty()) {
        allAccepted = false;
        break;
      }
      boolean accepted = sink.report(each.getKey(), window.window(), each.getValue());
      metrics.counter("limpetvale.usage.reports", "taken", String.valueOf(accepted)).increment();
      allAccepted &= accepted;
    }
    sender.conclude(claimed.get(), allAccepted ? OrderRow.State.DONE : OrderRow.State.UNKNOWN);
    logger.atInfo().log(
        "usage window=%d workspaces=%d reported=%s",
        window.window(), window.figures().size(), allAccepted);
    return allAccepted;
  }

  private void deleteBatches(long window) {
    table
        .scan(UsageRows.batchPrefix(window), "", PAGE_SIZE)
        .toOptional()
        .filter(rows -> !rows.isEmpty())
        .ifPresent(
            rows ->
                table.commit(
                    new Transaction(List.of(), List.of(), rows.stream().map(Row::key).toList())));
  }
}
