package org.limpetvale.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.Ids;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.RowAgeTracker;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/**
 * Claims orders in the table before they are sent, so that at most one process sends orders for a
 * duty, even to receivers that ignore fencing tokens.
 *
 * <p>The claim is written in a transaction that also checks the lease. A process that finds a claim
 * of another process whose order may be in flight sends nothing for that duty until the sender has
 * concluded the claim or is known to be permanently gone. If a sender cannot write its conclusion,
 * or does not know whether its claim was written, it concludes the claim in the background.
 */
public final class FencedSender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long COMMIT_TIMEOUT_MILLIS = 2000;
  private static final long CONCLUDE_PERIOD_MILLIS = 1000;

  /** Time to wait after an order of unknown outcome, so that it arrives before the next order. */
  private static final long UNKNOWN_ORDER_WAIT_MILLIS = 5000;

  private final String self;
  private final Table table;
  private final TransactionRunner commits;
  private final Predicate<String> isProcessGone;
  private final Map<String, OrderRow> pendingConclusions = new ConcurrentHashMap<>();
  private final RowAgeTracker ages;

  /**
   * Creates a sender.
   *
   * @param self this process, as {@code vm/instance}
   * @param isProcessGone tells whether a process is known to be permanently gone
   */
  public FencedSender(
      String self,
      Table table,
      TransactionRunner commits,
      Predicate<String> isProcessGone,
      TimerService timer) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.isProcessGone = Objects.requireNonNull(isProcessGone, "isProcessGone is null");
    this.ages = RowAgeTracker.of(timer);
    timer.every(CONCLUDE_PERIOD_MILLIS, this::concludePending);
  }

  /**
   * A claimed order.
   *
   * @param order claimed order
   * @param revision revision of its row
   */
  public record Claimed(OrderRow order, long revision) {}

  /**
   * Claims the next order of a duty.
   *
   * @param lease lease of the duty, currently held by this process
   * @param action requested action
   * @param subject VM or usage window that the order concerns
   * @return the claim, or empty if no order may be sent now
   */
  public Optional<Claimed> claim(LeaseManager.Held lease, OrderRow.Action action, String subject) {
    String key = key(lease.duty());
    if (!(table.get(key) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return Optional.empty();
    }
    Optional<OrderRow> stored = row.map(each -> JsonCodec.readStored(each.value(), OrderRow.class));
    if (stored.isPresent()
        && !stored.get().allowsNext(self, isProcessGone.test(stored.get().sender()))) {
      logger.atInfo().log(
          "order blocked duty=%s sender=%s order=%s",
          lease.duty(), stored.get().sender(), stored.get().orderId());
      return Optional.empty();
    }
    if (row.isPresent() && mayStillArrive(row.get(), stored.orElseThrow())) {
      return Optional.empty();
    }
    OrderRow order =
        new OrderRow(
            lease.duty(), lease.epoch(), Ids.next(), self, action, subject, OrderRow.State.SENDING);
    Transaction transaction =
        new Transaction(
            List.of(
                new Transaction.Check(lease.rowKey(), lease.revision()),
                new Transaction.Check(key, row.map(Row::revision).orElse(0L))),
            List.of(new Transaction.Put(key, JsonCodec.write(order))),
            List.of());
    TransactionRunner.Outcome outcome =
        commits.commit(transaction, key, value -> isMine(value, order), COMMIT_TIMEOUT_MILLIS);
    return switch (outcome) {
      case TransactionRunner.Outcome.Applied(long revision) -> {
        pendingConclusions.remove(lease.duty());
        yield Optional.of(new Claimed(order, revision));
      }
      case TransactionRunner.Outcome.Unresolved ignored -> {
        pendingConclusions.put(lease.duty(), order.withState(OrderRow.State.DONE));
        yield Optional.empty();
      }
      case TransactionRunner.Outcome.Conflict ignored -> Optional.empty();
      case TransactionRunner.Outcome.NotApplied ignored -> Optional.empty();
    };
  }

  /** Concludes a claim, in the background if the table is unavailable now. */
  public void conclude(Claimed claimed, OrderRow.State state) {
    String key = key(claimed.order().duty());
    OrderRow next = claimed.order().withState(state);
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(key, claimed.revision(), JsonCodec.write(next)),
            key,
            value -> JsonCodec.readStored(value, OrderRow.class).equals(next),
            COMMIT_TIMEOUT_MILLIS);
    boolean settled =
        outcome instanceof TransactionRunner.Outcome.Applied
            || outcome instanceof TransactionRunner.Outcome.Conflict;
    if (!settled) {
      pendingConclusions.put(next.duty(), next);
    }
  }

  /**
   * Returns whether an earlier order of unknown outcome may still reach a receiver that ignores
   * fencing tokens. Usage reports are exempt: their figures never change, so a late report is
   * harmless.
   */
  private boolean mayStillArrive(Row row, OrderRow stored) {
    if (stored.state() != OrderRow.State.UNKNOWN || stored.action() == OrderRow.Action.REPORT) {
      return false;
    }
    return ages.unchangedMillis(row) < UNKNOWN_ORDER_WAIT_MILLIS;
  }

  private void concludePending() {
    pendingConclusions.forEach(
        (duty, concluded) -> {
          if (!(table.get(key(duty))
              instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
            return;
          }
          boolean isStillSending =
              row.map(each -> JsonCodec.readStored(each.value(), OrderRow.class))
                  .filter(each -> each.orderId().equals(concluded.orderId()))
                  .filter(each -> each.state() == OrderRow.State.SENDING)
                  .isPresent();
          pendingConclusions.remove(duty, concluded);
          if (isStillSending) {
            conclude(new Claimed(concluded, row.get().revision()), concluded.state());
          }
        });
  }

  private static boolean isMine(String value, OrderRow order) {
    return JsonCodec.readStored(value, OrderRow.class).orderId().equals(order.orderId());
  }

  private static String key(String duty) {
    return "orders/" + duty;
  }
}
