package org.limpetvale.ports;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.limpetvale.core.time.TimerService;

/**
 * Runs transactions and resolves lost answers by reading back a token that the transaction writes.
 *
 * <p>A transaction whose answer was lost is retried unchanged. Its conditions let it take effect
 * only once. If a retry meets a conflict, the row with the token shows whether the conflicting
 * write is the transaction's own.
 */
public final class TransactionRunner {
  private static final long RETRY_DELAY_MILLIS = 50;

  private final Table table;
  private final TimerService timer;

  private TransactionRunner(Table table, TimerService timer) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** The final outcome of a transaction. */
  public sealed interface Outcome {
    /** The transaction took effect exactly once. */
    record Applied(long revision) implements Outcome {}

    /** A condition did not hold because of another write; nothing was written. */
    record Conflict() implements Outcome {}

    /** The table was unreachable or refused the call; nothing was written. */
    record NotApplied(String detail) implements Outcome {}

    /** Whether the transaction took effect could not be determined in time. */
    record Unresolved(String detail) implements Outcome {}
  }

  /** Returns a runner of transactions on a table. */
  public static TransactionRunner of(Table table, TimerService timer) {
    return new TransactionRunner(table, timer);
  }

  /** Reads a row of the table. */
  public ReadResult<Optional<Row>> read(String key) {
    return table.get(key);
  }

  /**
   * Runs a transaction.
   *
   * @param transaction the transaction; its conditions must cover the row with the token
   * @param tokenKey key of the row that carries the token
   * @param isOwnValue returns whether a value of that row was written by this transaction
   * @param timeoutMillis time limit of the retries after a lost answer, in milliseconds
   */
  public Outcome commit(
      Transaction transaction, String tokenKey, Predicate<String> isOwnValue, long timeoutMillis) {
    long deadlineMillis = timer.nowMillis() + timeoutMillis;
    boolean inDoubt = false;
    while (true) {
      String detail;
      switch (table.commit(transaction)) {
        case CommitResult.Committed(long revision) -> {
          return new Outcome.Applied(revision);
        }
        case CommitResult.Conflict() -> {
          if (!inDoubt) {
            return new Outcome.Conflict();
          }
          if (table.get(tokenKey) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row)) {
            return row.filter(each -> isOwnValue.test(each.value()))
                .<Outcome>map(each -> new Outcome.Applied(each.revision()))
                .orElseGet(Outcome.Conflict::new);
          }
          detail = "the table does not answer the read of " + tokenKey;
        }
        case CommitResult.Unavailable(String why) -> {
          if (!inDoubt) {
            return new Outcome.NotApplied(why);
          }
          detail = why;
        }
        case CommitResult.Unknown(String why) -> {
          inDoubt = true;
          detail = why;
        }
      }
      if (timer.nowMillis() >= deadlineMillis || !timer.sleep(RETRY_DELAY_MILLIS)) {
        return new Outcome.Unresolved(detail);
      }
    }
  }
}
