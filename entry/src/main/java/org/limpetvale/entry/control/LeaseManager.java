package org.limpetvale.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.lease.LeaseRow;
import org.limpetvale.core.lease.LeaseView;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.Ids;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;

/** Acquires, renews and releases the lease of one duty. */
public final class LeaseManager {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ROUNDS_PER_LEASE = 5;

  private final String self;
  private final String duty;
  private final long durationMillis;
  private final BooleanSupplier contends;
  private final Table table;
  private final TransactionRunner commits;
  private final TimerService timer;
  private LeaseView leaseView = LeaseView.empty();
  private boolean stopped;

  /**
   * Creates the manager of the lease of a duty and schedules its periodic rounds.
   *
   * @param self this process, as {@code vm/instance}
   * @param duty name of the duty
   * @param durationMillis duration of the lease, in milliseconds
   * @param contends whether this process should try to acquire the lease
   */
  public LeaseManager(
      String self,
      String duty,
      long durationMillis,
      BooleanSupplier contends,
      Table table,
      TransactionRunner commits,
      TimerService timer) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.duty = Objects.requireNonNull(duty, "duty is null");
    this.durationMillis = durationMillis;
    this.contends = Objects.requireNonNull(contends, "contends is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    timer.every(durationMillis / ROUNDS_PER_LEASE, this::round);
  }

  /**
   * A lease that this process holds.
   *
   * @param duty name of the duty
   * @param epoch epoch of the lease, used as the fencing token
   * @param rowKey key of the lease's row
   * @param revision revision of the row, checked by transactions that require the lease
   */
  public record Held(String duty, long epoch, String rowKey, long revision) {}

  /** Returns the lease if this process may currently act as its holder. */
  public synchronized Optional<Held> held() {
    return leaseView.isHolder(timer.nowMillis())
        ? Optional.of(new Held(duty, leaseView.epoch(), key(), revision()))
        : Optional.empty();
  }

  /** Releases the lease and stops contending for it. */
  public synchronized void release() {
    stopped = true;
    if (leaseView.isHolder(timer.nowMillis())) {
      LeaseRow released = new LeaseRow(duty, "", leaseView.epoch(), durationMillis, Ids.next());
      write(released, timer.nowMillis());
    }
  }

  private synchronized void round() {
    if (stopped) {
      return;
    }
    boolean wasHeld = leaseView.isHolder(timer.nowMillis());
    if (!wasHeld && !contends.getAsBoolean()) {
      return;
    }
    if (!wasHeld) {
      long readMillis = timer.nowMillis();
      if (!(table.get(key()) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
        return;
      }
      leaseView =
          leaseView.afterRead(
              row.map(each -> JsonCodec.readStored(each.value(), LeaseRow.class)),
              StoreVersion.of(row.map(Row::revision).orElse(0L)),
              readMillis);
    }
    long sentMillis = timer.nowMillis();
    leaseView
        .nextWrite(self, duty, durationMillis, Ids.next(), sentMillis)
        .ifPresent(next -> write(next, sentMillis));
    if (!wasHeld && leaseView.isHolder(timer.nowMillis())) {
      logger.atInfo().log("lease acquired duty=%s epoch=%d", duty, leaseView.epoch());
    }
  }

  private void write(LeaseRow next, long sentMillis) {
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(key(), revision(), JsonCodec.write(next)),
            key(),
            value -> JsonCodec.readStored(value, LeaseRow.class).token().equals(next.token()),
            durationMillis / ROUNDS_PER_LEASE);
    switch (outcome) {
      case TransactionRunner.Outcome.Applied(long revision) ->
          leaseView =
              leaseView.afterWrite(next, StoreVersion.of(revision), sentMillis, timer.nowMillis());
      case TransactionRunner.Outcome.Conflict() -> {
        logger.atInfo().log("lease lost duty=%s epoch=%d", duty, leaseView.epoch());
        leaseView = LeaseView.empty();
      }
      case TransactionRunner.Outcome.NotApplied ignored -> {}
      // The write may still take effect, which would invalidate the revision known here.
      case TransactionRunner.Outcome.Unresolved ignored -> leaseView = LeaseView.empty();
    }
  }

  private long revision() {
    return leaseView.revision().map(StoreVersion::number).orElse(0L);
  }

  private String key() {
    return "leases/" + duty;
  }
}
