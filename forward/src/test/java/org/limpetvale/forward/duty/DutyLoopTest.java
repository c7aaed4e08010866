package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.place.UpstreamStates;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;
import org.limpetvale.forward.time.FleetClock;

/** Tests which entry takes over the duties after their holder has gone, and how soon. */
final class DutyLoopTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long LEASE_MILLIS = 4_000;
  private static final long ROUND_MILLIS = 1_000;

  /** Upper bound on the time for a read, a write and a platform call. */
  private static final long MAX_CALL_MILLIS = 150;

  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store = new InMemoryStore(timer, new Random(1));
  private final Map<String, Long> firstActMillis = new HashMap<>();
  private final DutyProcess.Environment environment =
      DutyProcess.Environment.of(timer, store, WINDOW_MILLIS, SETTLE_MILLIS);
  private final Entry first = new Entry("edge-1");

  /** Time within which the counts of a window must be in the store after its end. */
  private static final long WRITE_DEADLINE_MILLIS = 1_500;

  private final class Entry implements DutyClient {
    private final ProcessLifecycle life;
    private final PeerReports peers;
    private final UsageCounts usage;
    private final DutyLoop loop;

    Entry(String name) {
      DutyProcess process = DutyProcess.start(environment, name, "b", life -> this, () -> 0);
      life = process.life;
      peers = process.peers;
      usage = process.usage;
      loop = process.loop;
    }

    @Override
    public CompletableFuture<DutyReply> reportUsage(
        String holder, long fencingToken, long window, Map<String, Long> counts) {
      firstActMillis.putIfAbsent(holder, timer.nowMillis());
      return CompletableFuture.completedFuture(new DutyReply.Taken());
    }

    @Override
    public CompletableFuture<DutyReply> orderUpstreams(
        String holder, long fencingToken, String service, String zone, int desiredCount) {
      throw new UnsupportedOperationException("no service is scaled");
    }
  }

  /** Lets the first entry perform the duties and starts a second one out of step with it. */
  private Entry successor() {
    timer.advance(10_000);
    assertThat(firstActMillis).containsKey("edge-1");
    Entry second = new Entry("edge-2");
    timer.advance(12_300);
    return second;
  }

  private void setStoreUnreachable(Entry entry, boolean cut) {
    entry.life.storeUnreachable = cut;
  }

  @Test
  void takesTheLeaseOverAsSoonAsItExpires() {
    Entry second = successor();
    first.life.kill();
    setStoreUnreachable(second, true);
    timer.advance(6_300);
    setStoreUnreachable(second, false);
    long reconnectedMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - reconnectedMillis)
        .isBetween(LEASE_MILLIS, LEASE_MILLIS + MAX_CALL_MILLIS);
  }

  @Test
  void aReleaseThatMissedTheStoreIsReceivedFromTheEntryItself() {
    Entry second = successor();
    setStoreUnreachable(first, true);
    setStoreUnreachable(second, true);
    timer.advance(5_000);
    first.loop.stop();
    second.peers.accept(
        PeerReport.parse(
                "{\"w\":\"edge-1.b\",\"n\":1,\"r\":%d}".formatted(first.loop.releasedEpoch()))
            .orElseThrow());
    timer.advance(SETTLE_MILLIS);
    setStoreUnreachable(second, false);
    long reconnectedMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - reconnectedMillis)
        .isLessThan(ROUND_MILLIS + MAX_CALL_MILLIS);
  }

  @Test
  void theNewHolderWaitsForTheSettleTimeAfterAReleaseIsReceived() {
    Entry second = successor();
    first.loop.stop();
    second.peers.accept(
        PeerReport.parse(
                "{\"w\":\"edge-1.b\",\"n\":1,\"r\":%d}".formatted(first.loop.releasedEpoch()))
            .orElseThrow());
    long receivedMillis = timer.nowMillis();
    second.loop.runNow();
    timer.advance(10_000);
    assertThat(firstActMillis.get("edge-2") - receivedMillis).isGreaterThanOrEqualTo(SETTLE_MILLIS);
  }

  @Test
  void everyEntryStoresItsCountsSoonAfterAWindowEnds() {
    List<Entry> others = Stream.of("edge-2", "edge-3", "edge-4", "edge-5").map(Entry::new).toList();
    for (int window = 0; window < 5; window++) {
      long elapsedMillis = timer.wallMillis() % WINDOW_MILLIS;
      timer.advance(WINDOW_MILLIS - elapsedMillis - 1);
      others.forEach(each -> each.usage.requestStarted("w"));
      long endedWindow = timer.wallMillis() / WINDOW_MILLIS;
      timer.advance(WRITE_DEADLINE_MILLIS);
      assertThat(closedRows(endedWindow)).as("window %d", endedWindow).hasSize(others.size());
    }
  }

  /** Returns the entries whose closed row for a window counts exactly one request. */
  private List<String> closedRows(long window) {
    return store.texts().entrySet().stream()
        .filter(row -> row.getKey().startsWith(FleetRows.USAGE_PREFIX))
        .flatMap(row -> FleetRows.parseUsage(row.getKey(), row.getValue()).stream())
        .filter(row -> row.window() == window && row.closed())
        .filter(row -> row.counts().equals(Map.of("w", 1L)))
        .map(FleetRows.UsageRow::entry)
        .toList();
  }

  /** A store whose transactions raise an exception until it is repaired. */
  private final class FaultyStore implements FleetStore {
    private final FleetStore store = DutyLoopTest.this.store.clientOf(new ProcessLifecycle());
    private boolean repaired;

    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      return store.read(table, fromKey, toKey);
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, StoreVersion sinceVersion, long waitMillis) {
      return store.changes(table, sinceVersion, waitMillis);
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      if (!repaired) {
        throw new IllegalStateException("odd row");
      }
      return store.commit(transaction);
    }

    @Override
    public void onReturn(Runnable action) {
      store.onReturn(action);
    }

    @Override
    public StoreVersion newestVersion() {
      return store.newestVersion();
    }
  }

  @Test
  void aRoundThatFailsWhileItStartsIsFollowedByOthers() {
    FaultyStore faulty = new FaultyStore();
    UsageCounts usage = UsageCounts.of(WINDOW_MILLIS, timer::wallMillis);
    DutyLoop loop =
        DutyLoop.of(
            new DutyLoop.Identity("edge-3", "b", new InetSocketAddress("127.0.0.1", 1), 0),
            faulty,
            first,
            usage,
            ScalingDuty.of(
                "edge-3",
                Optional::empty,
                FleetView::empty,
                new Demand(
                    FleetView::empty, UpstreamStates.empty(), PeerReports.of(timer), Map::of),
                first,
                timer,
                EventLog.silent()),
            Members.of(DutyProcess.RETRY_WINDOW_MILLIS, timer),
            SharedSuspects.none(),
            PeerReports.of(timer),
            FleetClock.of(timer),
            timer,
            EventLog.silent());
    loop.start();
    timer.advance(10_000);
    assertThat(store.texts()).doesNotContainKey(FleetRows.memberKey("edge-3.b"));
    faulty.repaired = true;
    timer.advance(10_000);
    assertThat(store.texts()).containsKey(FleetRows.memberKey("edge-3.b"));
  }
}
