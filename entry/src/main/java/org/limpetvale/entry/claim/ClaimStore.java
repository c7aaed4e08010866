package org.limpetvale.entry.claim;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.repeat.ClaimDecision;
import org.limpetvale.core.repeat.ClaimRow;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.Digests;
import org.limpetvale.daemon.Ids;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.RowAgeTracker;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/**
 * Stores idempotency claims for non-repeatable calls. A call runs only after a conditional insert
 * into the table, so that it runs at most once no matter which entries receive its retries.
 */
public final class ClaimStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_PREFIX = "claims/";
  private static final long INSERT_TIMEOUT_MILLIS = 3000;
  private static final long CONCLUDE_TIMEOUT_MILLIS = 1000;
  private static final long CONCLUDE_RETRY_MILLIS = 2000;
  private static final int MAX_CONCLUDE_RETRIES = 300;
  private static final int MAX_INSERT_ATTEMPTS = 10;
  private static final long RETRY_AFTER_MILLIS = 1000;

  /** Time without a change after which the holder of a claim is considered gone. */
  private static final long ABANDONED_AFTER_MILLIS = 60_000;

  private static final int MAX_CACHED_ANSWERS = 10_000;

  private final Table table;
  private final TransactionRunner commits;
  private final Digests digests;
  private final TimerService timer;
  private final RowAgeTracker ages;
  private final Map<String, ClaimRow> finished = new ConcurrentHashMap<>();

  /** Creates the claim store of an entry. */
  public ClaimStore(Table table, TransactionRunner commits, Digests digests, TimerService timer) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.digests = Objects.requireNonNull(digests, "digests is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.ages = RowAgeTracker.of(timer);
  }

  /** The outcome of a successful claim request. */
  public sealed interface Outcome {
    /** This process holds the claim: it must run the call once and conclude the claim. */
    record Run(Held held) implements Outcome {}

    /** The call ran before; its stored answer is returned again. */
    record Replay(ClaimRow.StoredAnswer answer) implements Outcome {}
  }

  /**
   * A claim that this process holds.
   *
   * @param key key of the row
   * @param revision revision of the row
   * @param row the row
   */
  public record Held(String key, long revision, ClaimRow row) {}

  /**
   * Claims a call.
   *
   * @param workspace name of the workspace
   * @param idempotencyKey idempotency key chosen by the caller
   * @param description HTTP method and path
   * @param body body of the call
   */
  public Result<Outcome> claim(
      String workspace, String idempotencyKey, String description, byte[] body) {
    String key = KEY_PREFIX + workspace + "/" + digests.digest(workspace + "\n" + idempotencyKey);
    String bodyDigest = digests.digest(description, body);
    for (int attempt = 0; attempt < MAX_INSERT_ATTEMPTS; attempt++) {
      ReadResult<Optional<Row>> read = table.get(key);
      if (!(read instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
        return withoutTable(key, bodyDigest);
      }
      Optional<ClaimRow> stored =
          row.map(each -> JsonCodec.readStored(each.value(), ClaimRow.class));
      switch (ClaimDecision.of(stored, bodyDigest)) {
        case ClaimDecision.Replay(ClaimRow.StoredAnswer answer) -> {
          return Result.ok(new Outcome.Replay(answer));
        }
        case ClaimDecision.BodyMismatch() -> {
          return Result.err(ResultCode.KEY_REUSED, "the key belongs to another call");
        }
        case ClaimDecision.MayHaveRun() -> {
          return Result.err(ResultCode.REPEAT_UNRESOLVED, "the earlier call was not resolved");
        }
        case ClaimDecision.InProgress() -> {
          return refuseWhileInProgress(row.orElseThrow(), stored.orElseThrow());
        }
        case ClaimDecision.Run() -> {
          Optional<Result<Outcome>> outcome = insert(key, bodyDigest, row);
          if (outcome.isPresent()) {
            return outcome.get();
          }
        }
      }
    }
    return tableUnavailable("too many repeats of the call at once");
  }

  /** Concludes a claim and stores the answer of the call. */
  public void finish(Held held, ClaimRow.StoredAnswer answer) {
    ClaimRow row = held.row().finished(answer);
    if (finished.size() < MAX_CACHED_ANSWERS) {
      finished.put(held.key(), row);
    }
    conclude(held, row, 0);
  }

  /** Releases a claim whose call definitely did not run, so that the call can be claimed again. */
  public void release(Held held) {
    conclude(held, held.row().withState(ClaimRow.State.RELEASED), 0);
  }

  /** Marks a claim whose call may have run as unresolved. */
  public void markUnknown(Held held) {
    conclude(held, held.row().withState(ClaimRow.State.UNKNOWN), 0);
  }

  /** Inserts a claim; returns empty if a concurrent write came first. */
  private Optional<Result<Outcome>> insert(String key, String bodyDigest, Optional<Row> stored) {
    ClaimRow row = ClaimRow.claimed(Ids.next(), bodyDigest);
    long revision = stored.map(Row::revision).orElse(0L);
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(key, revision, JsonCodec.write(row)),
            key,
            value -> isMine(value, row),
            INSERT_TIMEOUT_MILLIS);
    return switch (outcome) {
      case TransactionRunner.Outcome.Applied(long newRevision) ->
          Optional.of(Result.ok(new Outcome.Run(new Held(key, newRevision, row))));
      case TransactionRunner.Outcome.Conflict() -> Optional.empty();
      case TransactionRunner.Outcome.NotApplied(String detail) ->
          Optional.of(tableUnavailable(detail));
      case TransactionRunner.Outcome.Unresolved(String detail) -> {
        releaseUnresolvedLater(key, revision, row, 0);
        yield Optional.of(tableUnavailable(detail));
      }
    };
  }

  private Result<Outcome> refuseWhileInProgress(Row row, ClaimRow claim) {
    if (ages.unchangedMillis(row) > ABANDONED_AFTER_MILLIS) {
      table.commit(
          Transaction.put(
              row.key(), row.revision(), JsonCodec.write(claim.withState(ClaimRow.State.UNKNOWN))));
      return Result.err(ResultCode.REPEAT_UNRESOLVED, "the process that ran the call is gone");
    }
    return Result.err(
        Refusal.of(ResultCode.REPEAT_RUNNING, "the earlier call is running", RETRY_AFTER_MILLIS));
  }

  private Result<Outcome> withoutTable(String key, String bodyDigest) {
    ClaimRow known = finished.get(key);
    if (known != null && known.bodyDigest().equals(bodyDigest)) {
      return Result.ok(new Outcome.Replay(known.answer().orElseThrow()));
    }
    return tableUnavailable(
        "the table does not answer; send it again with the same Idempotency-Key");
  }

  private static Result<Outcome> tableUnavailable(String detail) {
    return Result.err(Refusal.of(ResultCode.TABLE_UNAVAILABLE, detail, RETRY_AFTER_MILLIS));
  }

  /** Writes the conclusion, and retries in the background while the table is unavailable. */
  private void conclude(Held held, ClaimRow row, int retries) {
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(held.key(), held.revision(), JsonCodec.write(row)),
            held.key(),
            value -> JsonCodec.readStored(value, ClaimRow.class).equals(row),
            CONCLUDE_TIMEOUT_MILLIS);
    switch (outcome) {
      case TransactionRunner.Outcome.Applied ignored -> ages.remove(held.key());
      case TransactionRunner.Outcome.Conflict() -> concludeAfterConflict(held, row, retries);
      default -> {
        if (retries >= MAX_CONCLUDE_RETRIES) {
          logger.atSevere().log("claim %s was not concluded: the table is unavailable", held.key());
          return;
        }
        timer.after(CONCLUDE_RETRY_MILLIS, () -> conclude(held, row, retries + 1));
      }
    }
  }

  /**
   * Overwrites a concurrent change of the claim. A retry of the call may have marked the claim as
   * unknown, but the holder knows the actual outcome.
   */
  private void concludeAfterConflict(Held held, ClaimRow row, int retries) {
    Optional<Row> stored = table.get(held.key()).toOptional().flatMap(found -> found);
    stored
        .filter(each -> isMine(each.value(), held.row()))
        .filter(each -> each.revision() != held.revision())
        .ifPresent(
            each -> conclude(new Held(held.key(), each.revision(), held.row()), row, retries + 1));
  }

  /**
   * Releases a claim in the background after an insert of unknown outcome; its call has not run.
   */
  private void releaseUnresolvedLater(String key, long revision, ClaimRow row, int retries) {
    timer.after(
        CONCLUDE_RETRY_MILLIS,
        () -> {
          ClaimRow released = row.withState(ClaimRow.State.RELEASED);
          TransactionRunner.Outcome outcome =
              commits.commit(
                  Transaction.put(key, revision, JsonCodec.write(released)),
                  key,
                  value -> JsonCodec.readStored(value, ClaimRow.class).equals(released),
                  CONCLUDE_TIMEOUT_MILLIS);
          if (outcome instanceof TransactionRunner.Outcome.Conflict) {
            Optional<Row> stored = table.get(key).toOptional().flatMap(found -> found);
            stored
                .filter(each -> isMine(each.value(), row))
                .ifPresent(each -> release(new Held(key, each.revision(), row)));
          } else if (!(outcome instanceof TransactionRunner.Outcome.Applied)
              && retries < MAX_CONCLUDE_RETRIES) {
            releaseUnresolvedLater(key, revision, row, retries + 1);
          }
        });
  }

  private static boolean isMine(String value, ClaimRow row) {
    return JsonCodec.readStored(value, ClaimRow.class).token().equals(row.token());
  }
}
