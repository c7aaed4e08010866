package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;

final class TableFollowerTest {
  private final ManualTimer timer = new ManualTimer();
  private final List<String> events = new ArrayList<>();
  private final Deque<CompletableFuture<StoreRead>> calls = new ArrayDeque<>();
  private final TableFollower follower = follower(0);

  /** Event whose delivery throws; empty for none. */
  private String faultyEvent = "";

  /** Whether calls of the store throw. */
  private boolean faultyStore;

  private TableFollower follower(long batchDelayMillis) {
    return TableFollower.of(
        new ScriptedStore(),
        RowTable.CONFIG,
        new TableFollower.Timing(1_500, 8_000, batchDelayMillis),
        new Recorder(),
        timer,
        EventLog.silent());
  }

  private final class ScriptedStore implements FleetStore {
    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      events.add("read");
      return newPendingCall();
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, StoreVersion sinceVersion, long waitMillis) {
      events.add("changes since " + sinceVersion.number());
      return newPendingCall();
    }

    @Override
    public void onReturn(Runnable action) {}

    @Override
    public StoreVersion newestVersion() {
      return StoreVersion.NONE;
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      throw new UnsupportedOperationException("not needed");
    }

    private CompletableFuture<StoreRead> newPendingCall() {
      if (faultyStore) {
        throw new IllegalStateException("odd call");
      }
      CompletableFuture<StoreRead> call = new CompletableFuture<>();
      calls.addLast(call);
      return call;
    }
  }

  private final class Recorder implements TableFollower.Subscriber {
    @Override
    public void onSnapshot(List<StoredRow> rows) {
      deliver("snapshot " + rows.size());
    }

    @Override
    public void onUpdate(List<StoredRow> rows) {
      deliver("update " + rows.size());
    }

    @Override
    public void onConfirmed(Moment asOf) {
      deliver("confirmed");
    }

    @Override
    public void onStoreReturned(StoreVersion version) {
      deliver("returned");
    }

    @Override
    public void onStoreRecovered() {
      deliver("store recovered");
    }
  }

  private void deliver(String event) {
    if (event.equals(faultyEvent)) {
      events.add("fault of " + event);
      throw new IllegalStateException("odd row");
    }
    events.add(event);
  }

  private void answer(StoreRead read) {
    calls.removeFirst().complete(read);
  }

  private static StoreRead page(long version, int rows) {
    return page(StoreVersion.of(version), rows);
  }

  private static StoreRead page(StoreVersion version, int rows) {
    List<StoredRow> list = new ArrayList<>();
    for (int i = 0; i < rows; i++) {
      list.add(new StoredRow("k" + i, "v", version, false));
    }
    return new StoreRead.Page(new RowPage(list, version, 0));
  }

  @Test
  void aLowerVersionOfALaterEraIsFollowedAtOnce() {
    follower.restart();
    answer(page(250, 2));
    answer(new StoreRead.HistoryGone());
    answer(page(new StoreVersion(1, 28), 1));
    assertThat(events)
        .containsExactly(
            "read",
            "snapshot 2",
            "confirmed",
            "changes since 250",
            "read",
            "returned",
            "snapshot 1",
            "confirmed",
            "changes since 28");
  }

  @Test
  void aTableOfAnEarlierEraIsNotTaken() {
    follower.restart();
    answer(page(new StoreVersion(1, 28), 2));
    events.clear();
    answer(page(new StoreVersion(0, 300), 2));
    assertThat(events).isEmpty();
  }

  @Test
  void theFollowerReadsTheTableAndThenWaitsForChanges() {
    follower.restart();
    answer(page(5, 2));
    answer(page(7, 1));
    assertThat(events)
        .containsExactly(
            "read",
            "snapshot 2",
            "confirmed",
            "changes since 5",
            "update 1",
            "confirmed",
            "changes since 7");
  }

  @Test
  void theBatchDelayPostponesTheNextCallAfterAChange() {
    TableFollower batching = follower(250);
    batching.restart();
    answer(page(5, 2));
    answer(page(7, 1));
    timer.advance(249);
    assertThat(events).endsWith("update 1", "confirmed");
    timer.advance(1);
    assertThat(events).endsWith("changes since 7");
    answer(page(7, 0));
    assertThat(events).endsWith("confirmed", "changes since 7");
  }

  @Test
  void droppedHistoryLeadsToAFullRead() {
    follower.restart();
    answer(page(5, 1));
    answer(new StoreRead.HistoryGone());
    assertThat(events).endsWith("changes since 5", "read");
  }

  @Test
  void aFailureLeadsToAFullReadAfterABackoffAndTheRecoveryIsSignalled() {
    follower.restart();
    answer(page(5, 1));
    answer(new StoreRead.Failed("down"));
    assertThat(events).endsWith("changes since 5");
    timer.advance(1_000);
    assertThat(events).endsWith("read");
    answer(page(9, 1));
    assertThat(events).endsWith("store recovered", "snapshot 1", "confirmed", "changes since 9");
  }

  @Test
  void anAnswerWithAStaleVersionIsIgnored() {
    follower.restart();
    answer(page(5, 1));
    events.clear();
    answer(page(3, 1));
    assertThat(events).isEmpty();
  }

  @Test
  void theFullTableIsReadPeriodically() {
    follower.restart();
    answer(page(5, 1));
    timer.advance(8_100);
    answer(page(5, 0));
    assertThat(events).endsWith("read");
  }

  @Test
  void aRestartEndsThePreviousSequenceOfCalls() {
    follower.restart();
    follower.restart();
    answer(page(5, 1));
    assertThat(events).containsExactly("read", "read");
    answer(page(5, 1));
    assertThat(events).contains("snapshot 1");
  }

  @Test
  void anExceptionWhileRowsAreAppliedLeadsToAFullReadAfterABackoff() {
    long version = 5;
    for (String event : List.of("snapshot 1", "update 1", "confirmed")) {
      faultyEvent = event;
      follower.restart();
      calls.removeIf(call -> call != calls.getLast());
      answer(page(version, 1));
      if (event.equals("update 1")) {
        answer(page(version + 2, 1));
      }
      assertThat(events).as(event).endsWith("fault of " + event);
      timer.advance(1_000);
      assertThat(events).as(event).endsWith("fault of " + event, "read");
      faultyEvent = "";
      answer(page(version + 4, 1));
      assertThat(events)
          .as(event)
          .endsWith("snapshot 1", "confirmed", "changes since " + (version + 4));
      version += 10;
    }
  }

  @Test
  void anExceptionAtTheStoresReturnLeadsToAFullRead() {
    follower.restart();
    answer(page(5, 1));
    faultyEvent = "returned";
    answer(new StoreRead.HistoryGone());
    answer(pageOfNextEra());
    timer.advance(1_000);
    assertThat(events).endsWith("fault of returned", "read");
    faultyEvent = "";
    answer(pageOfNextEra());
    assertThat(events).endsWith("returned", "snapshot 0", "confirmed", "changes since 3");
  }

  private static StoreRead pageOfNextEra() {
    return new StoreRead.Page(new RowPage(List.of(), new StoreVersion(1, 3), 0));
  }

  @Test
  void aRecoveryWhoseSignalFailedIsSignalledAgain() {
    follower.restart();
    answer(page(5, 1));
    answer(new StoreRead.Failed("down"));
    timer.advance(1_000);
    faultyEvent = "store recovered";
    answer(page(6, 1));
    timer.advance(1_000);
    faultyEvent = "";
    answer(page(6, 1));
    assertThat(events).endsWith("store recovered", "snapshot 1", "confirmed", "changes since 6");
  }

  @Test
  void repeatedExceptionsAreSpreadByTheBackoff() {
    faultyEvent = "snapshot 1";
    follower.restart();
    for (int i = 0; i < 200; i++) {
      if (!calls.isEmpty()) {
        answer(page(5, 1));
      }
      timer.advance(50);
    }
    assertThat(events.stream().filter("read"::equals).count()).isBetween(10L, 30L);
  }

  @Test
  void aCallThatEndsWithAnExceptionLeadsToAFullReadAfterABackoff() {
    follower.restart();
    calls.removeFirst().completeExceptionally(new IllegalStateException("odd answer"));
    timer.advance(1_000);
    answer(page(5, 1));
    calls.removeFirst().completeExceptionally(new IllegalStateException("odd answer"));
    timer.advance(1_000);
    answer(page(7, 1));
    faultyStore = true;
    answer(page(8, 1));
    faultyStore = false;
    timer.advance(1_000);
    answer(page(9, 1));
    assertThat(events).endsWith("snapshot 1", "confirmed", "changes since 9");
  }
}
