package org.limpetvale.ports;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.limpetvale.core.time.TimerService;

/**
 * Runs transactions whose lost answers are resolved by reading back their own token.
 *
 * <p>A transaction whose answer was lost is sent again unchanged. Its conditions let it take effect
 * only once; when the repeat meets a conflict, the row with the token tells whose write it was.
 */
public final class TransactionRunner {
  private static final long RETRY_DELAY_MILLIS = 50;

  private final Table table;
  private final TimerService timer;

  private TransactionRunner(Table table, TimerService timer) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** The resolved result of a transaction. */
  public sealed interface Outcome {
    /** It took effect, once. */
    record Applied(long revision) implements Outcome {}

    /** Another write came first; nothing was written. */
    record Conflict() implements Outcome {}

    /** Nothing was written, as the table was not reached. */
    record NotApplied(String detail) implements Outcome {}

    /** It could not be resolved in time. */
    record Unresolved(String detail) implements Outcome {}
  }

  /** Returns a writer on a table. */
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
   * @param transaction the transaction; its conditions must include the row with the token
   * @param tokenKey key of the row that carries the token
   * @param isMine tells whether the value of that row is this transaction's
   * @param timeoutMillis time to spend on a lost answer, in milliseconds
   */
  public Outcome commit(
      Transaction transaction, String tokenKey, Predicate<String> isMine, long timeoutMillis) {
    long endMillis = timer.nowMillis() + timeoutMillis;
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
            return row.filter(each -> isMine.test(each.value()))
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
      if (timer.nowMillis() >= endMillis || !timer.sleep(RETRY_DELAY_MILLIS)) {
        return new Outcome.Unresolved(detail);
      }
    }
  }
}
