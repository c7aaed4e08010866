package org.limpetvale.forward.fleet;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;

/**
 * Follows a table of the store: reads the full table, then polls for changes.
 *
 * <p>The full table is read again when the store has dropped its change history, after failures,
 * and periodically, since a store that loses history may miss a change.
 *
 * <p>An exception while a call is made or its rows are applied is logged, and the full table is
 * read again after the backoff. The following ends only with the process.
 */
public final class TableFollower {
  private static final long INITIAL_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 800;

  /**
   * Timing of the reads.
   *
   * @param longPollMillis time for which the store holds a call while there are no changes
   * @param fullReadIntervalMillis time after which the full table is read again
   * @param batchDelayMillis pause after a change so that further changes arrive in one batch, as
   *     when a starting fleet changes row after row
   */
  public record Timing(long longPollMillis, long fullReadIntervalMillis, long batchDelayMillis) {}

  /** Receives what is read, on the event loop. */
  public interface Subscriber {
    /** Receives all rows of the table. */
    void onSnapshot(List<StoredRow> rows);

    /** Receives the rows that have changed since the last call. */
    void onUpdate(List<StoredRow> rows);

    /**
     * Confirms that all changes up to a moment have been delivered.
     *
     * @param asOf when the confirming call was sent
     */
    void onConfirmed(Moment asOf);

    /**
     * Signals that the store has come back from an older copy, which the next snapshot is read
     * from. Its rows may be older than those delivered before.
     *
     * @param version version of the next snapshot; rows with a higher one are newer than the copy
     */
    void onStoreReturned(StoreVersion version);

    /** Signals that the store is available again after failures. */
    void onStoreRecovered();
  }

  private final FleetStore store;
  private final RowTable table;
  private final Timing timing;
  private final Subscriber subscriber;
  private final TimerService timer;
  private final EventLog log;
  private StoreVersion version = StoreVersion.NONE;
  private long fullReadAtMillis;
  private long backoffMillis;
  private boolean failing;

  /** Whether the subscriber has not yet accepted the signal that the store is available again. */
  private boolean recoveryPending;

  /** Whether the subscriber has not yet accepted the signal that the store has returned. */
  private boolean returnPending;

  /** The last logged exception; empty after a read without one. */
  private String loggedFault = "";

  /** Number of the running sequence of calls. Incrementing it ends the previous sequence. */
  private long generation;

  private TableFollower(
      FleetStore store,
      RowTable table,
      Timing pace,
      Subscriber subscriber,
      TimerService timer,
      EventLog log) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.timing = Objects.requireNonNull(pace, "pace is null");
    this.subscriber = Objects.requireNonNull(subscriber, "subscriber is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Creates a follower that has not been started. */
  public static TableFollower of(
      FleetStore store,
      RowTable table,
      Timing pace,
      Subscriber subscriber,
      TimerService timer,
      EventLog log) {
    return new TableFollower(store, table, pace, subscriber, timer, log);
  }

  /** Reads the full table now and follows it from there. */
  public void restart() {
    generation++;
    readTable(generation);
  }

  private void readTable(long expectedGeneration) {
    Moment sentAt = Moment.now(timer);
    follow(
        expectedGeneration,
        () -> store.read(table, "", ""),
        read -> handleTable(expectedGeneration, sentAt, read));
  }

  /** Makes a call and handles its answer; an exception of either leads to a full read. */
  private void follow(
      long expectedGeneration,
      Supplier<CompletableFuture<StoreRead>> call,
      Consumer<StoreRead> handler) {
    orReadAgain(
        expectedGeneration,
        () ->
            call.get()
                .whenComplete(
                    (read, failure) ->
                        orReadAgain(
                            expectedGeneration,
                            () -> handler.accept(failure == null ? read : failed(failure)))));
  }

  private static StoreRead failed(Throwable failure) {
    return new StoreRead.Failed("exception: " + failure);
  }

  private void orReadAgain(long expectedGeneration, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError e) {
      logFault(e);
      if (expectedGeneration == generation) {
        scheduleFullRead(expectedGeneration);
      }
    }
  }

  private void logFault(Throwable fault) {
    String text = fault.toString();
    if (!text.equals(loggedFault)) {
      loggedFault = text;
      log.stateChange(
          "table_not_applied",
          field("table", table),
          field("version", version),
          field("cause", text),
          field("at", fault.getStackTrace().length > 0 ? fault.getStackTrace()[0] : ""));
    }
  }

  private void handleTable(long expectedGeneration, Moment sentAt, StoreRead read) {
    if (expectedGeneration != generation) {
      return;
    }
    switch (read) {
      case StoreRead.Page(RowPage page) when !page.version().isBefore(version) -> {
        boolean returned =
            !version.equals(StoreVersion.NONE) && version.isOfEarlierEraThan(page.version());
        returnPending |= returned;
        version = page.version();
        fullReadAtMillis = sentAt.monotonicMillis();
        readSucceeded();
        if (returnPending) {
          subscriber.onStoreReturned(version);
          returnPending = false;
        }
        subscriber.onSnapshot(page.rows());
        subscriber.onConfirmed(sentAt);
        applied();
        waitForChanges(expectedGeneration);
      }
      case StoreRead.Page(RowPage page) ->
          readFailed(
              expectedGeneration, "stale table version: " + page.version() + " after " + version);
      case StoreRead.HistoryGone() -> readFailed(expectedGeneration, "no history for a full read");
      case StoreRead.Failed(String detail) -> readFailed(expectedGeneration, detail);
    }
  }

  private void waitForChanges(long expectedGeneration) {
    Moment sentAt = Moment.now(timer);
    if (sentAt.monotonicMillis() - fullReadAtMillis >= timing.fullReadIntervalMillis()) {
      readTable(expectedGeneration);
      return;
    }
    follow(
        expectedGeneration,
        () -> store.changes(table, version, timing.longPollMillis()),
        read -> handleChanges(expectedGeneration, sentAt, read));
  }

  private void continueAfter(long expectedGeneration, boolean changed) {
    if (!changed || timing.batchDelayMillis() == 0) {
      waitForChanges(expectedGeneration);
      return;
    }
    timer.after(
        timing.batchDelayMillis(),
        () -> {
          if (expectedGeneration == generation) {
            waitForChanges(expectedGeneration);
          }
        });
  }

  private void handleChanges(long expectedGeneration, Moment sentAt, StoreRead read) {
    if (expectedGeneration != generation) {
      return;
    }
    switch (read) {
      case StoreRead.Page(RowPage page) when !page.version().isBefore(version) -> {
        version = page.version();
        readSucceeded();
        if (!page.rows().isEmpty()) {
          subscriber.onUpdate(page.rows());
        }
        subscriber.onConfirmed(sentAt);
        applied();
        continueAfter(expectedGeneration, !page.rows().isEmpty());
      }
      case StoreRead.Page(RowPage page) ->
          readFailed(
              expectedGeneration, "stale table version: " + page.version() + " after " + version);
      case StoreRead.HistoryGone() -> {
        log.stateChange("history_gone", field("table", table), field("version", version));
        readTable(expectedGeneration);
      }
      case StoreRead.Failed(String detail) -> readFailed(expectedGeneration, detail);
    }
  }

  private void readSucceeded() {
    if (failing) {
      failing = false;
      recoveryPending = true;
      log.stateChange("store_regained", field("table", table), field("version", version));
    }
    if (recoveryPending) {
      subscriber.onStoreRecovered();
      recoveryPending = false;
    }
  }

  /** Ends the backoff, as the subscriber has accepted what was read. */
  private void applied() {
    backoffMillis = 0;
    loggedFault = "";
  }

  private void readFailed(long expectedGeneration, String detail) {
    if (!failing) {
      failing = true;
      log.stateChange(
          "store_lost", field("table", table), field("version", version), field("cause", detail));
    }
    scheduleFullRead(expectedGeneration);
  }

  private void scheduleFullRead(long expectedGeneration) {
    backoffMillis =
        Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, backoffMillis * 2));
    long delayMillis =
        backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
    timer.after(
        delayMillis,
        () -> {
          if (expectedGeneration == generation) {
            readTable(expectedGeneration);
          }
        });
  }
}
