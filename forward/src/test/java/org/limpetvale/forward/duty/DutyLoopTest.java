package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/** Who does the duties after the one that did them has gone, and how soon. */
final class DutyLoopTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long LEASE_MILLIS = 4_000;
  private static final long ROUND_MILLIS = 1_000;

  /** Time for a read and a write of the store, and a call of the platform. */
  private static final long CALLS_MILLIS = 150;

  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store = new InMemoryStore(timer, new Random(1));
  private final Map<String, Long> firstActMillis = new HashMap<>();
  private final DutyProcess.World world =
      DutyProcess.World.of(timer, store, WINDOW_MILLIS, SETTLE_MILLIS);
  private final Entry first = new Entry("edge-1");

  /** Time within which the counts of a window that has ended are in the store. */
  private static final long WRITTEN_MILLIS = 1_500;

  private final class Entry implements DutyClient {
    private final ProcessLifecycle life;
    private final PeerReports peers;
    private final UsageCounts usage;
    private final DutyLoop loop;

    Entry(String name) {
      DutyProcess process = DutyProcess.start(world, name, "b", life -> this, () -> 0);
      life = process.life;
      peers = process.peers;
      usage = process.usage;
      loop = process.loop;
    }

    @Override
    public CompletableFuture<DutyReply> reportUsage(
        String holder, long fence, long window, Map<String, Long> counts) {
      firstActMillis.putIfAbsent(holder, timer.nowMillis());
      return CompletableFuture.completedFuture(new DutyReply.Taken());
    }

    @Override
    public CompletableFuture<DutyReply> orderUpstreams(
        String holder, long fence, String service, String zone, int wanted) {
      throw new UnsupportedOperationException("nothing is scaled here");
    }
  }

  /** Lets the first entry do the duties, and another one look at an uneven moment. */
  private Entry successor() {
    timer.advance(10_000);
    assertThat(firstActMillis).containsKey("edge-1");
    Entry second = new Entry("edge-2");
    timer.advance(12_300);
    return second;
  }

  private void cut(Entry entry, boolean cut) {
    entry.life.storeUnreachable = cut;
  }

  @Test
  void theLeaseIsTakenOverWhenItLapsesAndNotARoundLater() {
    Entry second = successor();
    first.life.kill();
    cut(second, true);
    timer.advance(6_300);
    cut(second, false);
    long seenMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - seenMillis)
        .isBetween(LEASE_MILLIS, LEASE_MILLIS + CALLS_MILLIS);
  }

  @Test
  void aReleaseThatTheStoreDidNotTakeIsHeardFromTheEntryItself() {
    Entry second = successor();
    cut(first, true);
    cut(second, true);
    timer.advance(5_000);
    first.loop.stop();
    second.peers.accept(
        PeerReport.parse(
                "{\"w\":\"edge-1.b\",\"n\":1,\"r\":%d}".formatted(first.loop.releasedEpoch()))
            .orElseThrow());
    timer.advance(SETTLE_MILLIS);
    cut(second, false);
    long seenMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - seenMillis).isLessThan(ROUND_MILLIS + CALLS_MILLIS);
  }

  @Test
  void aReleaseThatWasHeardIsNotActedOnBeforeTheOldHolderHasSettled() {
    Entry second = successor();
    first.loop.stop();
    second.peers.accept(
        PeerReport.parse(
                "{\"w\":\"edge-1.b\",\"n\":1,\"r\":%d}".formatted(first.loop.releasedEpoch()))
            .orElseThrow());
    long heardMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - heardMillis).isGreaterThanOrEqualTo(SETTLE_MILLIS);
  }

  @Test
  void theCountsOfAWindowAreInTheStoreSoonAfterItsEndWhoeverCountedThem() {
    List<Entry> others = Stream.of("edge-2", "edge-3", "edge-4", "edge-5").map(Entry::new).toList();
    for (int window = 0; window < 5; window++) {
      long intoMillis = timer.wallMillis() % WINDOW_MILLIS;
      timer.advance(WINDOW_MILLIS - intoMillis - 1);
      others.forEach(each -> each.usage.requestStarted("w"));
      long ended = timer.wallMillis() / WINDOW_MILLIS;
      timer.advance(WRITTEN_MILLIS);
      assertThat(closedRows(ended)).as("window %d", ended).hasSize(others.size());
    }
  }

  /** Returns the entries that have written one request in a window, and that no more will come. */
  private List<String> closedRows(long window) {
    return store.texts().entrySet().stream()
        .filter(row -> row.getKey().startsWith(FleetRows.USAGE_PREFIX))
        .flatMap(row -> FleetRows.parseUsage(row.getKey(), row.getValue()).stream())
        .filter(row -> row.window() == window && row.closed())
        .filter(row -> row.counts().equals(Map.of("w", 1L)))
        .map(FleetRows.UsageRow::entry)
        .toList();
  }
}
