package org.limpetvale.entry.config;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.ConfigChange;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.ConfigValidator;
import org.limpetvale.core.config.Fault;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.daemon.Ids;
import org.limpetvale.ports.ObjectStore;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/**
 * Validates and commits configuration changes. Each accepted change is one transaction and creates
 * one version.
 */
public final class ConfigWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_COMMIT_ATTEMPTS = 20;
  private static final long COMMIT_TIMEOUT_MILLIS = 10_000;
  private static final long RETRY_AFTER_MILLIS = 2000;
  private static final long VERSIONS_PER_SNAPSHOT = 500;

  private final Table table;
  private final ObjectStore objects;
  private final ConfigHolder holder;
  private final ConfigReader reader;
  private final TransactionRunner commits;

  private ConfigWriter(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigReader reader,
      TransactionRunner commits) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.objects = Objects.requireNonNull(objects, "objects is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.reader = Objects.requireNonNull(reader, "reader is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
  }

  /** Returns a writer that installs accepted changes into a holder. */
  public static ConfigWriter of(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigReader reader,
      TransactionRunner commits) {
    return new ConfigWriter(table, objects, holder, reader, commits);
  }

  /**
   * Validates and commits a change.
   *
   * @param author operator who makes the change
   * @param change change to commit
   * @return the accepted change with its version, or the refusal; {@link
   *     ExecutionStatus#MAY_HAVE_RUN} means that the outcome of the commit is unknown
   */
  public Result<ChangeRecord> apply(String author, ConfigChange change) {
    String changeId = Ids.next();
    for (int attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
      Optional<Optional<Row>> head = table.get(ConfigRows.HEAD).toOptional();
      if (head.isEmpty() || !reader.refresh()) {
        return unavailable("the table does not answer", ExecutionStatus.NOT_RUN);
      }
      long version = head.get().map(ConfigWriter::versionOf).orElse(0L);
      ConfigState state = holder.current();
      if (state.version() != version) {
        continue;
      }
      List<Fault> faults = ConfigValidator.validate(state, change);
      if (!faults.isEmpty()) {
        String messages = faults.stream().map(Fault::message).collect(Collectors.joining("\n"));
        return Result.err(ResultCode.CONFIG_INVALID, messages);
      }
      ChangeRecord record = new ChangeRecord(version + 1, changeId, author, change);
      switch (commits.commit(
          transaction(record, head.get().map(Row::revision).orElse(0L)),
          ConfigRows.changeKey(record.version()),
          value -> JsonCodec.readStored(value, ChangeRecord.class).changeId().equals(changeId),
          COMMIT_TIMEOUT_MILLIS)) {
        case TransactionRunner.Outcome.Applied ignored -> {
          return installAccepted(record);
        }
        case TransactionRunner.Outcome.Conflict() -> {
          continue;
        }
        case TransactionRunner.Outcome.NotApplied(String detail) -> {
          return unavailable(detail, ExecutionStatus.NOT_RUN);
        }
        case TransactionRunner.Outcome.Unresolved(String detail) -> {
          return unavailable(detail, ExecutionStatus.MAY_HAVE_RUN);
        }
      }
    }
    return unavailable(
        "too many operators change the configuration at once", ExecutionStatus.NOT_RUN);
  }

  private Result<ChangeRecord> installAccepted(ChangeRecord record) {
    logger.atInfo().log(
        "accepted version=%d change=%s author=%s kind=%s",
        record.version(),
        record.changeId(),
        record.author(),
        record.change().getClass().getSimpleName());
    holder.install(List.of(record));
    if (record.version() % VERSIONS_PER_SNAPSHOT == 0) {
      writeSnapshot(holder.current());
    }
    return Result.ok(record);
  }

  private void writeSnapshot(ConfigState state) {
    String object = "config-snapshot-" + state.version();
    if (!objects.put(object, JsonCodec.write(state))) {
      logger.atWarning().log("snapshot %s was not written", object);
      return;
    }
    Optional<Optional<Row>> pointer = table.get(ConfigRows.SNAPSHOT).toOptional();
    pointer.ifPresent(
        row -> {
          String value = JsonCodec.write(new ConfigRows.SnapshotPointer(state.version(), object));
          long revision = row.map(Row::revision).orElse(0L);
          table.commit(Transaction.put(ConfigRows.SNAPSHOT, revision, value));
        });
  }

  private static Transaction transaction(ChangeRecord record, long headRevision) {
    String changeKey = ConfigRows.changeKey(record.version());
    return new Transaction(
        List.of(
            new Transaction.Check(ConfigRows.HEAD, headRevision),
            new Transaction.Check(changeKey, 0)),
        List.of(
            new Transaction.Put(
                ConfigRows.HEAD, JsonCodec.write(new ConfigRows.Head(record.version()))),
            new Transaction.Put(changeKey, JsonCodec.write(record))),
        List.of());
  }

  private static long versionOf(Row head) {
    return JsonCodec.readStored(head.value(), ConfigRows.Head.class).version();
  }

  private static Result<ChangeRecord> unavailable(String detail, ExecutionStatus status) {
    return Result.err(
        Refusal.of(ResultCode.TABLE_UNAVAILABLE, detail, RETRY_AFTER_MILLIS)
            .withExecutionStatus(status));
  }
}
