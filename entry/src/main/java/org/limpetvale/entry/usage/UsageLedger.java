package org.limpetvale.entry.usage;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.core.usage.UsageBatch;
import org.limpetvale.core.usage.UsageRecord;
import org.limpetvale.daemon.Ids;
import org.limpetvale.entry.upstream.FlushedRecords;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/**
 * Collects the usage records of this entry and writes them to the table in batches.
 *
 * <p>Each batch is written in a single transaction, which also checks that its window is open and
 * that no recovery has closed this writer. A batch whose commit result was lost is retried
 * unchanged.
 */
public final class UsageLedger implements FlushedRecords {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long COMMIT_TIMEOUT_MILLIS = 3000;
  private static final int MAX_BATCH_RECORDS = 2000;

  private final TransactionRunner commits;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final String entryId;
  private final long windowMillis;
  private final AtomicReference<Writer> writer;

  /** Never locked during a table call, because requests add records concurrently. */
  private final Map<String, Pending> pending = Collections.synchronizedMap(new LinkedHashMap<>());

  private final Map<String, List<String>> flushedByVm = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> vmsByOrphanedWriter = new ConcurrentHashMap<>();
  private PlannedBatch unresolvedBatch;

  /** First window not known to be closed; this clock may lag behind that of the reporter. */
  private long firstOpenWindow;

  /** A writer id and the row revision that its batches check; 0 before the row is written. */
  private record Writer(String id, long revision) {}

  private record Pending(UsageRecord record, String vm) {}

  private record PlannedBatch(UsageBatch batch, List<Pending> records, Writer writer) {}

  /** Creates the ledger of one entry. */
  public UsageLedger(
      TransactionRunner commits,
      TimerService timer,
      MeterRegistry metrics,
      String entryId,
      long windowMillis,
      long flushMillis) {
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.windowMillis = windowMillis;
    this.writer = new AtomicReference<>(newWriter(entryId));
    timer.every(flushMillis, this::flush);
  }

  /** Adds the record of an answer that the caller has received completely. */
  public void add(UsageRecord record, String vm) {
    pending.put(record.recordId(), new Pending(record, vm));
  }

  /**
   * Counts and logs usage without proof of delivery, such as the tokens of an interrupted answer.
   */
  public void recordUnprovenUsage(String workspace, String requestId, long tokens) {
    metrics.counter("limpetvale.usage.unproved.tokens").increment(tokens);
    logger.atWarning().log(
        "usage not proved workspace=%s request=%s tokens=%d", workspace, requestId, tokens);
  }

  @Override
  public String writerId() {
    return writer.get().id();
  }

  @Override
  public List<String> takeFlushed(String vm) {
    List<String> flushed = flushedByVm.remove(vm);
    return flushed == null ? List.of() : flushed;
  }

  @Override
  public void recordOrphanedWriter(String vm, String writerId) {
    vmsByOrphanedWriter.computeIfAbsent(writerId, ignored -> ConcurrentHashMap.newKeySet()).add(vm);
  }

  /**
   * Returns the orphaned writers reported since the last call, with the VMs that hold their
   * records, and removes them.
   */
  Map<String, Set<String>> takeOrphanedWriters() {
    Map<String, Set<String>> taken = Map.copyOf(vmsByOrphanedWriter);
    taken.keySet().forEach(vmsByOrphanedWriter::remove);
    return taken;
  }

  /** Writes a batch of pending records; returns whether none are left. */
  public synchronized boolean flush() {
    if (unresolvedBatch == null && pending.isEmpty()) {
      return true;
    }
    if (!ensureWriterRegistered()) {
      return false;
    }
    PlannedBatch plan = unresolvedBatch == null ? planBatch() : unresolvedBatch;
    String key =
        UsageRows.batchKey(plan.batch().window(), plan.writer().id(), plan.batch().batchId());
    Transaction transaction =
        new Transaction(
            List.of(
                new Transaction.Check(key, 0),
                new Transaction.Check(UsageRows.windowKey(plan.batch().window()), 0),
                new Transaction.Check(
                    UsageRows.writerKey(plan.writer().id()), plan.writer().revision())),
            List.of(new Transaction.Put(key, JsonCodec.write(toRow(plan)))),
            List.of());
    TransactionRunner.Outcome outcome =
        commits.commit(transaction, key, value -> true, COMMIT_TIMEOUT_MILLIS);
    switch (outcome) {
      case TransactionRunner.Outcome.Applied ignored -> markFlushed(plan);
      case TransactionRunner.Outcome.Conflict() -> resolveConflict(plan);
      case TransactionRunner.Outcome.NotApplied ignored -> {
        if (unresolvedBatch == null) {
          return false;
        }
      }
      case TransactionRunner.Outcome.Unresolved ignored -> unresolvedBatch = plan;
    }
    return pending.isEmpty() && unresolvedBatch == null;
  }

  private PlannedBatch planBatch() {
    List<Pending> records;
    synchronized (pending) {
      records = pending.values().stream().limit(MAX_BATCH_RECORDS).toList();
    }
    long window = Math.max(firstOpenWindow, timer.wallMillis() / windowMillis);
    UsageBatch batch =
        UsageBatch.of(Ids.next(), window, records.stream().map(Pending::record).toList());
    return new PlannedBatch(batch, records, writer.get());
  }

  private static UsageRows.BatchRow toRow(PlannedBatch plan) {
    return new UsageRows.BatchRow(
        plan.batch(), plan.records().stream().map(each -> each.record().recordId()).toList());
  }

  private void markFlushed(PlannedBatch plan) {
    unresolvedBatch = null;
    for (Pending each : plan.records()) {
      pending.remove(each.record().recordId());
      flushedByVm.merge(each.vm(), List.of(each.record().recordId()), UsageLedger::concat);
    }
  }

  /**
   * Resolves a conflict: a batch that was in fact written is marked as flushed, a closed window is
   * skipped, and a closed writer is replaced.
   */
  private void resolveConflict(PlannedBatch plan) {
    if (plan.equals(unresolvedBatch)) {
      String key =
          UsageRows.batchKey(plan.batch().window(), plan.writer().id(), plan.batch().batchId());
      switch (commits.read(key)) {
        case ReadResult.Unavailable<Optional<Row>> ignored -> {
          return;
        }
        case ReadResult.Success<Optional<Row>>(Optional<Row> row) when row.isPresent() -> {
          markFlushed(plan);
          return;
        }
        case ReadResult.Success<Optional<Row>> ignored -> unresolvedBatch = null;
      }
    }
    boolean windowClosed =
        commits
            .read(UsageRows.windowKey(plan.batch().window()))
            .toOptional()
            .flatMap(row -> row)
            .isPresent();
    if (windowClosed) {
      firstOpenWindow = plan.batch().window() + 1;
    }
    UsageRows.WriterRow row = readWriter(plan.writer().id());
    if (row == null || !row.closed()) {
      return;
    }
    // The recovery takes over the records that sidecars hold for the closed writer.
    logger.atWarning().log("usage writer %s was closed by a recovery", plan.writer().id());
    int handedOver = pending.size();
    metrics.counter("limpetvale.usage.handed.over.records").increment(handedOver);
    pending.clear();
    writer.set(newWriter(entryId));
  }

  private UsageRows.WriterRow readWriter(String id) {
    return commits
        .read(UsageRows.writerKey(id))
        .toOptional()
        .flatMap(found -> found)
        .map(row -> JsonCodec.readStored(row.value(), UsageRows.WriterRow.class))
        .orElse(null);
  }

  private boolean ensureWriterRegistered() {
    Writer current = writer.get();
    if (current.revision() > 0) {
      return true;
    }
    String key = UsageRows.writerKey(current.id());
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(key, 0, JsonCodec.write(new UsageRows.WriterRow(entryId, false))),
            key,
            value -> true,
            COMMIT_TIMEOUT_MILLIS);
    if (outcome instanceof TransactionRunner.Outcome.Applied(long revision)) {
      writer.set(new Writer(current.id(), revision));
      return true;
    }
    if (outcome instanceof TransactionRunner.Outcome.Conflict) {
      commits
          .read(key)
          .toOptional()
          .flatMap(found -> found)
          .filter(row -> !JsonCodec.readStored(row.value(), UsageRows.WriterRow.class).closed())
          .ifPresentOrElse(
              row -> writer.set(new Writer(current.id(), row.revision())),
              () -> writer.set(newWriter(entryId)));
    }
    return false;
  }

  private static Writer newWriter(String entryId) {
    return new Writer(entryId.replace('/', '.') + "." + Ids.next().substring(0, 8), 0);
  }

  private static List<String> concat(List<String> first, List<String> second) {
    List<String> all = new ArrayList<>(first);
    all.addAll(second);
    return List.copyOf(all);
  }
}
