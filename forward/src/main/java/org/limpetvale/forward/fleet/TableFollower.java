package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Follows a table of the store: reads it whole, then waits for changes.
 *
 * <p>It reads the table whole again when the store has dropped its history, after failures, and
 * from time to time, since a store that loses history may hide a change.
 */
public final class TableFollower {
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final long LONGEST_PAUSE_MILLIS = 800;

  /**
   * How a table is followed.
   *
   * @param longPollMillis time that the store holds a call without changes
   * @param fullReadIntervalMillis time after which the table is read whole again
   * @param batchDelayMillis time after a change in which others are left to gather, as a fleet that
   *     starts changes row by row
   */
  public record Timing(long longPollMillis, long fullReadIntervalMillis, long batchDelayMillis) {}

  /** Takes what is read, on the event loop. */
  public interface Subscriber {
    /** All rows of the table. */
    void onSnapshot(List<StoredRow> rows);

    /** Rows that have changed since. */
    void onUpdate(List<StoredRow> rows);

    /**
     * All changes up to a moment have been handed over.
     *
     * @param asOf that moment
     */
    void onConfirmed(Moment asOf);

    /** The store answers again after failures. */
    void onStoreRecovered();
  }

  private final FleetStore store;
  private final RowTable table;
  private final Timing pace;
  private final Subscriber subscriber;
  private final TimerService timer;
  private final EventLog log;
  private long version;
  private long wholeReadAtMillis;
  private long pauseMillis;
  private boolean failing;

  /** Number of the running chain of calls; a new chain makes the old one end. */
  private long chain;

  private TableFollower(
      FleetStore store,
      RowTable table,
      Timing pace,
      Subscriber subscriber,
      TimerService timer,
      EventLog log) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.pace = Objects.requireNonNull(pace, "pace is null");
    this.subscriber = Objects.requireNonNull(subscriber, "subscriber is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns a follower that has not begun. */
  public static TableFollower of(
      FleetStore store,
      RowTable table,
      Timing pace,
      Subscriber subscriber,
      TimerService timer,
      EventLog log) {
    return new TableFollower(store, table, pace, subscriber, timer, log);
  }

  /** Reads the table whole now and follows it from there. */
  public void restart() {
    chain++;
    readWhole(chain);
  }

  private void readWhole(long mine) {
    Moment sent = Moment.now(timer);
    store.read(table, "", "").thenAccept(read -> tookWhole(mine, sent, read));
  }

  private void tookWhole(long mine, Moment sent, StoreRead read) {
    if (mine != chain) {
      return;
    }
    switch (read) {
      case StoreRead.Page(RowPage page) when page.version() >= version -> {
        version = page.version();
        wholeReadAtMillis = sent.monotonicMillis();
        answered();
        subscriber.onSnapshot(page.rows());
        subscriber.onConfirmed(sent);
        waitForChanges(mine);
      }
      case StoreRead.Page(RowPage page) ->
          failed(mine, "an old state: " + page.version() + " after " + version);
      case StoreRead.HistoryGone() -> failed(mine, "no history for a whole read");
      case StoreRead.Failed(String detail) -> failed(mine, detail);
    }
  }

  private void waitForChanges(long mine) {
    Moment sent = Moment.now(timer);
    if (sent.monotonicMillis() - wholeReadAtMillis >= pace.fullReadIntervalMillis()) {
      readWhole(mine);
      return;
    }
    store
        .changes(table, version, pace.longPollMillis())
        .thenAccept(read -> tookChanges(mine, sent, read));
  }

  private void goOn(long mine, boolean changed) {
    if (!changed || pace.batchDelayMillis() == 0) {
      waitForChanges(mine);
      return;
    }
    timer.after(
        pace.batchDelayMillis(),
        () -> {
          if (mine == chain) {
            waitForChanges(mine);
          }
        });
  }

  private void tookChanges(long mine, Moment sent, StoreRead read) {
    if (mine != chain) {
      return;
    }
    switch (read) {
      case StoreRead.Page(RowPage page) when page.version() >= version -> {
        version = page.version();
        answered();
        if (!page.rows().isEmpty()) {
          subscriber.onUpdate(page.rows());
        }
        subscriber.onConfirmed(sent);
        goOn(mine, !page.rows().isEmpty());
      }
      case StoreRead.Page(RowPage page) ->
          failed(mine, "an old state: " + page.version() + " after " + version);
      case StoreRead.HistoryGone() -> {
        log.stateChange("history_gone", field("table", table), field("version", version));
        readWhole(mine);
      }
      case StoreRead.Failed(String detail) -> failed(mine, detail);
    }
  }

  private void answered() {
    pauseMillis = 0;
    if (failing) {
      failing = false;
      log.stateChange("store_regained", field("table", table), field("version", version));
      subscriber.onStoreRecovered();
    }
  }

  private void failed(long mine, String detail) {
    if (!failing) {
      failing = true;
      log.stateChange(
          "store_lost", field("table", table), field("version", version), field("cause", detail));
    }
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, Math.max(FIRST_PAUSE_MILLIS, pauseMillis * 2));
    long jittered = pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis / 2 + 1);
    timer.after(
        jittered,
        () -> {
          if (mine == chain) {
            readWhole(mine);
          }
        });
  }
}
