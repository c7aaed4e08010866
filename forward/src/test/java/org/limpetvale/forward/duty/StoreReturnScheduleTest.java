package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.RouteTable;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.store.StoreVersion;
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

/**
 * Guards against two counts of one window, a lost settle time and a flood of calls in schedules
 * around a return of the store from an older copy.
 */
final class StoreReturnScheduleTest {
  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store = new InMemoryStore(timer, new Random(1));
  private final DutyProcess.Environment environment =
      DutyProcess.Environment.of(timer, store, 5_000, 3_000);
  private final List<String> received = new ArrayList<>();

  private DutyClient calls(ProcessLifecycle life) {
    return new DutyClient() {
      @Override
      public CompletableFuture<DutyReply> reportUsage(
          String holder, long token, long window, Map<String, Long> counts) {
        received.add(window + " " + new TreeMap<>(counts) + " by " + holder + " token " + token);
        CompletableFuture<DutyReply> reply = new CompletableFuture<>();
        timer.after(5, () -> life.run(() -> reply.complete(new DutyReply.Taken())));
        return reply;
      }

      @Override
      public CompletableFuture<DutyReply> orderUpstreams(
          String holder, long token, String service, String zone, int desired) {
        return CompletableFuture.completedFuture(new DutyReply.Taken());
      }
    };
  }

  private DutyProcess start(String name) {
    return DutyProcess.start(environment, name, "b1", this::calls, () -> 0);
  }

  private long highestHeartbeat() {
    return store.texts().entrySet().stream()
        .filter(each -> each.getKey().startsWith("member/"))
        .map(each -> each.getValue().replaceAll(".*\"beat\":(\\d+).*", "$1"))
        .mapToLong(Long::parseLong)
        .max()
        .orElse(0);
  }

  @Test
  void aContenderDoesNotSpinWhileItWaitsInANewEraWithoutALeaseRow() {
    store.returnFrom(store.copy());
    start("edge-a");
    timer.advance(3_900);
    assertThat(highestHeartbeat()).as("writes in 3.9 s").isLessThan(10);
  }

  @Test
  void aWindowSealedLateByAnEarlierEraIsNotReportedWithOtherCounts() {
    DutyProcess a = start("edge-a");
    timer.advance(6_000);
    long window = a.usage.currentWindow();
    a.usage.requestStarted("w");
    String usageKey = "usage/" + window + "/edge-a.b1";
    // A dies right after it has sent the seal of the window, which the store performs late.
    while (!store.texts().getOrDefault(usageKey, "").contains("\"closed\":true")) {
      timer.advance(1);
    }
    InMemoryStore.Copy[] copy = {store.copy()};
    a.life.kill();
    FleetStore late = store.clientOf(new ProcessLifecycle());
    Map<String, StoreVersion> versions = new TreeMap<>();
    late.read(RowTable.FLEET, "", "")
        .thenAccept(
            read ->
                ((StoreRead.Page) read)
                    .page()
                    .rows()
                    .forEach(row -> versions.put(row.key(), row.version())));
    timer.advance(50);
    assertThat(versions).doesNotContainKey("report/" + window);

    DutyProcess b = start("edge-b");
    timer.advance(4_600);
    assertThat(received).anyMatch(each -> each.startsWith(window + " "));
    store.returnFrom(copy[0]);
    b.life.kill();
    List<StoreCommit> outcome = new ArrayList<>();
    late.commit(
            new RowTransaction(
                List.of(
                    new RowTransaction.Condition("lease/duties", versions.get("lease/duties")),
                    new RowTransaction.Condition("era/0", versions.get("era/0")),
                    new RowTransaction.Condition("report/" + window, StoreVersion.absentIn(0))),
                List.of(
                    new RowTransaction.Write(
                        "report/" + window,
                        FleetRows.encodeReport(
                            new FleetRows.ReportRow(window, false, Map.of("w", 7L), 0)))),
                List.of()))
        .thenAccept(outcome::add);
    timer.advance(50);
    start("edge-c");
    timer.advance(20_000);
    assertThat(
            received.stream()
                .filter(each -> each.startsWith(window + " "))
                .map(each -> each.substring(0, each.indexOf(" by")))
                .distinct())
        .hasSize(1);
  }

  /** A's restoring write is refused in a window of 8 ms after the return, then A is killed. */
  @Test
  void aWindowWhoseReportWasNotRestoredIsNotSealedAgainByTheNextHolder() {
    List<String> broken = new ArrayList<>();
    for (long offset = 1; offset < 90; offset++) {
      String result = new StoreReturnScheduleTest().restoreRefused(offset);
      if (!result.isEmpty()) {
        broken.add(offset + " ms: " + result);
      }
    }
    assertThat(broken).isEmpty();
  }

  private String restoreRefused(long offset) {
    DutyProcess a = start("edge-a");
    timer.advance(700);
    DutyProcess c = start("edge-c");
    timer.advance(11_000);
    long window = a.usage.currentWindow();
    timer.advance((window + 1) * 5_000 - 300 - timer.wallMillis());
    InMemoryStore.Copy copy = store.copy();
    c.usage.requestStarted("w");
    String reported = window + " ";
    while (!store
        .texts()
        .getOrDefault("usage/" + window + "/edge-c.b1", "")
        .contains("\"closed\":true")) {
      timer.advance(1);
    }
    c.life.kill();
    for (int i = 0;
        i < 9_000 && received.stream().noneMatch(each -> each.startsWith(reported));
        i++) {
      timer.advance(1);
    }
    timer.advance(30);
    store.setDown(true);
    timer.advance(200);
    store.returnFrom(copy);
    store.setDown(false);
    // From the first answer of the new era on.
    while (!store.texts().getOrDefault("usage/" + window + "/edge-a.b1", "").contains("closed")) {
      timer.advance(1);
    }
    timer.advance(offset);
    a.life.storeUnreachable = true;
    timer.advance(8);
    a.life.storeUnreachable = false;
    for (int i = 0; i < 600 && !store.texts().containsKey("era/1"); i++) {
      timer.advance(1);
    }
    boolean restored = store.texts().containsKey("report/" + window);
    String era = store.texts().getOrDefault("era/1", "-");
    a.life.kill();
    start("edge-b");
    timer.advance(25_000);
    List<String> counts =
        received.stream().filter(each -> each.startsWith(reported)).distinct().toList();
    long distinct =
        counts.stream().map(each -> each.substring(0, each.indexOf(" by"))).distinct().count();
    return distinct > 1 ? counts + " restored=" + restored + " era=" + era : "";
  }

  /** B takes over a released lease; the store returns before B's settle time has passed. */
  @Test
  void theNewHolderWaitsForTheSettleTimeAlsoIfTheStoreReturnsMeanwhile() {
    List<String> broken = new ArrayList<>();
    for (long before = 3_000; before > -1_000; before -= 400) {
      broken.addAll(new StoreReturnScheduleTest().settle(before));
    }
    assertThat(broken).isEmpty();
  }

  private List<String> settle(long beforeEnd) {
    DutyProcess a = start("edge-a");
    timer.advance(700);
    start("edge-b");
    timer.advance(9_000);
    long window = a.usage.currentWindow();
    timer.advance((window + 1) * 5_000 - beforeEnd - timer.wallMillis());
    InMemoryStore.Copy copy = store.copy();
    a.loop.stop().thenAccept(done -> a.life.kill());
    while (!store.texts().get("lease/duties").contains("edge-b")) {
      timer.advance(1);
    }
    long takenAt = timer.nowMillis();
    timer.advance(100);
    store.returnFrom(copy);
    int before = received.size();
    while (received.size() == before && timer.nowMillis() < takenAt + 20_000) {
      timer.advance(1);
    }
    long actedAfter = timer.nowMillis() - takenAt;
    return actedAfter < 2_900
        ? List.of(
            "released "
                + beforeEnd
                + " ms before the end, acted "
                + actedAfter
                + " ms after the take-over: "
                + received.getLast())
        : List.of();
  }

  @Test
  void aNewHolderGivesNoOrderWithinTheSettleTimeThoughTheStoreReturns() {
    FleetView fleet =
        FleetView.of(List.of(new Upstream("u1", "scaled", "10.0.0.1", 80, "z1", 8, false, 1)));
    FleetConfig config =
        new FleetConfig(
            1,
            RouteTable.of(List.of()),
            Map.of(
                "scaled",
                new ServicePolicy(
                    "scaled",
                    96,
                    Optional.empty(),
                    Optional.of(new ServicePolicy.ScalingBounds(1, 9)))),
            CallerLimits.DEFAULT,
            false,
            Map.of());
    DutyProcess.Environment scaled =
        new DutyProcess.Environment(
            timer, store, 5_000, 3_000, Optional.of(config), fleet, "scaled", false);
    List<String> orders = new ArrayList<>();
    DutyProcess.ClientFactory clients =
        life ->
            new DutyClient() {
              @Override
              public CompletableFuture<DutyReply> reportUsage(
                  String holder, long token, long window, Map<String, Long> counts) {
                return CompletableFuture.completedFuture(new DutyReply.Taken());
              }

              @Override
              public CompletableFuture<DutyReply> orderUpstreams(
                  String holder, long token, String service, String zone, int desired) {
                orders.add(timer.nowMillis() + " " + holder + " token " + token + " " + desired);
                return CompletableFuture.completedFuture(new DutyReply.Taken());
              }
            };
    DutyProcess a = DutyProcess.start(scaled, "edge-a", "b1", clients, () -> 60);
    timer.advance(700);
    DutyProcess.start(scaled, "edge-b", "b1", clients, () -> 60);
    timer.advance(9_000);
    InMemoryStore.Copy copy = store.copy();
    a.loop.stop().thenAccept(done -> a.life.kill());
    while (!store.texts().get("lease/duties").contains("edge-b")) {
      timer.advance(1);
    }
    timer.advance(100);
    store.returnFrom(copy);
    int before = orders.size();
    timer.advance(2_700);
    assertThat(orders.subList(before, orders.size())).isEmpty();
  }
}
