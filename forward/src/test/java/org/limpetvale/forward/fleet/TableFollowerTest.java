package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
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
  private final List<String> seen = new ArrayList<>();
  private final Deque<CompletableFuture<StoreRead>> calls = new ArrayDeque<>();
  private final TableFollower follower = follower(0);

  private TableFollower follower(long restMillis) {
    return TableFollower.of(
        new ScriptedStore(),
        RowTable.CONFIG,
        new TableFollower.Timing(1_500, 8_000, restMillis),
        new Recorder(),
        timer,
        EventLog.silent());
  }

  private final class ScriptedStore implements FleetStore {
    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      seen.add("read");
      return next();
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, long sinceVersion, long waitMillis) {
      seen.add("changes since " + sinceVersion);
      return next();
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      throw new UnsupportedOperationException("not needed");
    }

    private CompletableFuture<StoreRead> next() {
      CompletableFuture<StoreRead> call = new CompletableFuture<>();
      calls.addLast(call);
      return call;
    }
  }

  private final class Recorder implements TableFollower.Subscriber {
    @Override
    public void onSnapshot(List<StoredRow> rows) {
      seen.add("whole " + rows.size());
    }

    @Override
    public void onUpdate(List<StoredRow> rows) {
      seen.add("changed " + rows.size());
    }

    @Override
    public void onConfirmed(Moment asOf) {
      seen.add("confirmed");
    }

    @Override
    public void onStoreRecovered() {
      seen.add("regained");
    }
  }

  private void answer(StoreRead read) {
    calls.removeFirst().complete(read);
  }

  private static StoreRead page(long version, int rows) {
    List<StoredRow> list = new ArrayList<>();
    for (int i = 0; i < rows; i++) {
      list.add(new StoredRow("k" + i, "v", version, false));
    }
    return new StoreRead.Page(new RowPage(list, version, 0));
  }

  @Test
  void itReadsTheTableAndThenWaitsForChanges() {
    follower.restart();
    answer(page(5, 2));
    answer(page(7, 1));
    assertThat(seen)
        .containsExactly(
            "read",
            "whole 2",
            "confirmed",
            "changes since 5",
            "changed 1",
            "confirmed",
            "changes since 7");
  }

  @Test
  void withARestOtherChangesGatherBeforeTheNextCall() {
    TableFollower resting = follower(250);
    resting.restart();
    answer(page(5, 2));
    answer(page(7, 1));
    timer.advance(249);
    assertThat(seen).endsWith("changed 1", "confirmed");
    timer.advance(1);
    assertThat(seen).endsWith("changes since 7");
    answer(page(7, 0));
    assertThat(seen).endsWith("confirmed", "changes since 7");
  }

  @Test
  void droppedHistoryLeadsToAWholeRead() {
    follower.restart();
    answer(page(5, 1));
    answer(new StoreRead.HistoryGone());
    assertThat(seen).endsWith("changes since 5", "read");
  }

  @Test
  void failuresLeadToAWholeReadAfterAPauseAndTheReturnIsTold() {
    follower.restart();
    answer(page(5, 1));
    answer(new StoreRead.Failed("down"));
    assertThat(seen).endsWith("changes since 5");
    timer.advance(1_000);
    assertThat(seen).endsWith("read");
    answer(page(9, 1));
    assertThat(seen).endsWith("regained", "whole 1", "confirmed", "changes since 9");
  }

  @Test
  void anOlderStateThanWasSeenConfirmsNothing() {
    follower.restart();
    answer(page(5, 1));
    seen.clear();
    answer(page(3, 1));
    assertThat(seen).isEmpty();
  }

  @Test
  void theTableIsReadWholeFromTimeToTime() {
    follower.restart();
    answer(page(5, 1));
    timer.advance(8_100);
    answer(page(5, 0));
    assertThat(seen).endsWith("read");
  }

  @Test
  void aRestartEndsTheChainBefore() {
    follower.restart();
    follower.restart();
    answer(page(5, 1));
    assertThat(seen).containsExactly("read", "read");
    answer(page(5, 1));
    assertThat(seen).contains("whole 1");
  }
}
