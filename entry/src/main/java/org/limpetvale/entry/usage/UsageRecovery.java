package org.limpetvale.entry.usage;

import com.google.common.flogger.FluentLogger;
import io.grpc.StatusRuntimeException;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.core.usage.UsageBatch;
import org.limpetvale.core.usage.UsageFigures;
import org.limpetvale.core.usage.UsageRecord;
import org.limpetvale.daemon.Ids;
import org.limpetvale.entry.upstream.SidecarLink;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/**
 * Recovers the usage records that lost entries have left at sidecars.
 *
 * <p>The writer of a lost entry is closed first, so that it can write no further batches. Then the
 * records missing from its batches are written.
 */
public final class UsageRecovery {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PERIOD_MILLIS = 3000;
  private static final long COMMIT_TIMEOUT_MILLIS = 3000;
  private static final long LOOKBACK_MILLIS = 900_000;
  private static final long MAX_WINDOWS = 400;
  private static final int PAGE_SIZE = 500;

  private final UsageLedger ledger;
  private final SidecarPool pool;
  private final Table table;
  private final TransactionRunner commits;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final long windowMillis;

  /** Creates the recovery of one entry and schedules its periodic rounds. */
  public UsageRecovery(
      UsageLedger ledger,
      SidecarPool pool,
      Table table,
      TransactionRunner commits,
      TimerService timer,
      MeterRegistry metrics,
      long windowMillis) {
    this.ledger = Objects.requireNonNull(ledger, "ledger is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.windowMillis = windowMillis;
    timer.every(PERIOD_MILLIS, this::runRound);
  }

  /** The ids of the records of one writer that were recovered from one sidecar. */
  private record RecoveredRow(List<String> recordIds) {}

  private synchronized void runRound() {
    ledger
        .takeOrphanedWriters()
        .forEach((writerId, vms) -> vms.forEach(vm -> recover(writerId, vm)));
  }

  private void recover(String writerId, String vm) {
    Optional<SidecarLink> link = pool.link(vm);
    if (link.isEmpty() || !closeWriter(writerId)) {
      return;
    }
    try {
      List<org.limpetvale.wire.UsageRecord> records =
          link.get().takeOrphanedUsage(writerId, false).getRecordsList();
      Optional<Set<String>> flushed = flushedRecordIds(writerId);
      if (flushed.isPresent() && write(writerId, vm, records, flushed.get())) {
        link.get().takeOrphanedUsage(writerId, true);
      }
    } catch (StatusRuntimeException e) {
      logger.atInfo().log("recovery of %s from %s failed: %s", writerId, vm, e.getStatus());
    }
  }

  private boolean closeWriter(String writerId) {
    String key = UsageRows.writerKey(writerId);
    if (!(table.get(key) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return false;
    }
    UsageRows.WriterRow stored =
        row.map(each -> JsonCodec.readStored(each.value(), UsageRows.WriterRow.class))
            .orElseGet(() -> new UsageRows.WriterRow(writerId, false));
    if (stored.closed()) {
      return true;
    }
    UsageRows.WriterRow closed = new UsageRows.WriterRow(stored.entryId(), true);
    return commits.commit(
            Transaction.put(key, row.map(Row::revision).orElse(0L), JsonCodec.write(closed)),
            key,
            value -> JsonCodec.readStored(value, UsageRows.WriterRow.class).closed(),
            COMMIT_TIMEOUT_MILLIS)
        instanceof TransactionRunner.Outcome.Applied;
  }

  /** Returns the ids of the records in the batches of a closed writer; empty if a read fails. */
  private Optional<Set<String>> flushedRecordIds(String writerId) {
    long current = timer.wallMillis() / windowMillis;
    long windows = Math.min(MAX_WINDOWS, LOOKBACK_MILLIS / windowMillis + 2);
    Set<String> recordIds = new HashSet<>();
    for (long window = current - windows; window <= current; window++) {
      ReadResult<List<Row>> read =
          table.scan(UsageRows.batchPrefix(window) + writerId + "/", "", PAGE_SIZE);
      if (!(read instanceof ReadResult.Success<List<Row>>(List<Row> rows))) {
        return Optional.empty();
      }
      rows.forEach(
          row ->
              recordIds.addAll(
                  JsonCodec.readStored(row.value(), UsageRows.BatchRow.class).recordIds()));
    }
    return Optional.of(recordIds);
  }

  private boolean write(
      String writerId,
      String vm,
      List<org.limpetvale.wire.UsageRecord> records,
      Set<String> flushed) {
    String recoveredKey = "usage/recovered/" + writerId + "/" + vm;
    if (!(table.get(recoveredKey)
        instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return false;
    }
    List<String> alreadyRecovered =
        row.map(each -> JsonCodec.readStored(each.value(), RecoveredRow.class).recordIds())
            .orElse(List.of());
    List<UsageRecord> missing =
        records.stream()
            .filter(each -> !flushed.contains(each.getRecordId()))
            .filter(each -> !alreadyRecovered.contains(each.getRecordId()))
            .map(UsageRecovery::fromWire)
            .toList();
    if (missing.isEmpty()) {
      return true;
    }
    List<String> ids = new ArrayList<>(alreadyRecovered);
    missing.forEach(each -> ids.add(each.recordId()));
    long window = timer.wallMillis() / windowMillis;
    UsageBatch batch = UsageBatch.of(Ids.next(), window, missing);
    String batchKey = UsageRows.batchKey(window, "recovered." + writerId, batch.batchId());
    UsageRows.BatchRow batchRow =
        new UsageRows.BatchRow(batch, missing.stream().map(UsageRecord::recordId).toList());
    RecoveredRow recovered = new RecoveredRow(List.copyOf(ids));
    Transaction transaction =
        new Transaction(
            List.of(
                new Transaction.Check(recoveredKey, row.map(Row::revision).orElse(0L)),
                new Transaction.Check(batchKey, 0),
                new Transaction.Check(UsageRows.windowKey(window), 0)),
            List.of(
                new Transaction.Put(recoveredKey, JsonCodec.write(recovered)),
                new Transaction.Put(batchKey, JsonCodec.write(batchRow))),
            List.of());
    boolean written =
        commits.commit(transaction, batchKey, value -> true, COMMIT_TIMEOUT_MILLIS)
            instanceof TransactionRunner.Outcome.Applied;
    if (written) {
      metrics.counter("limpetvale.usage.recovered.records").increment(missing.size());
      logger.atInfo().log("recovered %d usage records of %s from %s", missing.size(), writerId, vm);
    }
    return written;
  }

  private static UsageRecord fromWire(org.limpetvale.wire.UsageRecord wire) {
    return new UsageRecord(
        wire.getRecordId(),
        wire.getWorkspace(),
        new UsageFigures(wire.getPromptTokens(), wire.getCompletionTokens(), wire.getCalls()));
  }
}
