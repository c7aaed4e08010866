package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.LimitHistory;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.place.UpstreamLimits;
import org.limpetvale.forward.place.UpstreamStates;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/**
 * Simulates, in virtual time, entries that all prefer one upstream, which names a limit, and send
 * to it whenever they may.
 *
 * <p>The requests of an entry that is cut off from the store or from the other entries, or has been
 * until recently, do not count: it cannot know how many entries share the limit. The same holds for
 * an entry that was paused a moment ago.
 */
final class UpstreamLimitSimulation {
  private static final long STEP_MILLIS = 20;
  private static final long REPORT_PERIOD_MILLIS = 150;
  private static final long MAX_REPORT_DELAY_MILLIS = 20;
  private static final long MIN_RESPONSE_MILLIS = 20;
  private static final long MAX_RESPONSE_MILLIS = 400;
  private static final long USAGE_WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after a cut or a pause of an entry in which its requests do not count. */
  private static final long EXCUSED_MILLIS = 3_000;

  private static final Upstream UPSTREAM =
      new Upstream("i-1", "desk", "10.0.0.1", 80, "z", 8, false, 1);

  private static final DutyClient NO_DUTY_CALLS =
      new DutyClient() {
        @Override
        public CompletableFuture<DutyReply> reportUsage(
            String holder, long fencingToken, long window, Map<String, Long> counts) {
          return CompletableFuture.completedFuture(new DutyReply.Taken());
        }

        @Override
        public CompletableFuture<DutyReply> orderUpstreams(
            String holder, long fencingToken, String service, String zone, int desiredCount) {
          throw new UnsupportedOperationException("no service is scaled");
        }
      };

  private final ManualTimer timer = new ManualTimer();
  private final FleetView fleet = FleetView.of(List.of(UPSTREAM));
  private final DutyProcess.Environment environment;
  private final List<Entry> entries = new ArrayList<>();
  private final double requestsPerSecond;
  private final double statedLimit;
  private final LimitHistory history;
  private OptionalDouble limit = OptionalDouble.empty();
  private boolean storeDown;
  private double reportLossShare;
  final Random random;

  /** An entry, across restarts of its process. */
  final class Entry {
    private final String name;
    private final long clockSkewMillis = random.nextLong(-20, 21);
    private int boots;
    private DutyProcess process;
    private UpstreamStates states;
    private UpstreamLimits limits;
    private String writer = "";
    private long reportNumber;
    private boolean running;
    private boolean storeCut;
    private boolean peersCut;
    private long excusedUntilMillis;

    private Entry(String name) {
      this.name = name;
    }

    private void boot() {
      String boot = "b" + ++boots;
      writer = name + "." + boot;
      process = DutyProcess.start(environment, name, boot, life -> NO_DUTY_CALLS, () -> 0);
      process.life.storeUnreachable = storeDown || storeCut;
      states = UpstreamStates.empty();
      EntryRoster roster = EntryRoster.of(writer, process.members, process.peers, process.time);
      limits =
          UpstreamLimits.of(
              states,
              writer,
              roster::entries,
              () -> process.time.wallMillis() + clockSkewMillis,
              process.time,
              EventLog.silent());
      running = true;
      reportNumber = 0;
      scheduleReport(process.life);
    }

    private void scheduleReport(ProcessLifecycle life) {
      process.time.after(
          REPORT_PERIOD_MILLIS,
          () -> {
            if (running && process.life == life) {
              report();
              scheduleReport(life);
            }
          });
    }

    private void report() {
      PeerReport report =
          new PeerReport(
              writer,
              ++reportNumber,
              0,
              PeerReport.USAGE_OMITTED,
              Map.of(),
              Map.of(),
              Map.of(),
              Map.of(),
              Map.of(),
              Map.of(),
              limits.recentNotices(),
              Map.of(),
              0);
      for (Entry other : entries) {
        boolean lost = peersCut || other.peersCut || random.nextDouble() < reportLossShare;
        if (other != this && !lost && other.running) {
          DutyProcess receiver = other.process;
          UpstreamLimits receiverLimits = other.limits;
          timer.after(
              random.nextLong(MAX_REPORT_DELAY_MILLIS),
              () ->
                  receiver.life.run(
                      () -> {
                        receiver.peers.accept(report);
                        receiverLimits.peerReported(report, fleet);
                      }));
        }
      }
    }

    boolean serves() {
      return running && !process.life.isFrozen();
    }

    private boolean isExcused() {
      return storeCut || peersCut || timer.nowMillis() < excusedUntilMillis;
    }

    private void excuse() {
      excusedUntilMillis = timer.nowMillis() + EXCUSED_MILLIS;
    }

    private void request() {
      if (!limits.maySend(UPSTREAM)) {
        return;
      }
      long sentMillis = process.time.nowMillis();
      states.state(UPSTREAM).recordSend(sentMillis);
      if (!isExcused()) {
        history.recordArrival(writer, timer.nowMillis());
      }
      ProcessLifecycle life = process.life;
      UpstreamLimits sender = limits;
      String senderName = writer;
      timer.after(
          random.nextLong(MIN_RESPONSE_MILLIS, MAX_RESPONSE_MILLIS),
          () -> {
            StatedLimit stated =
                limit.isPresent()
                    ? new StatedLimit.PerSecond(limit.getAsDouble())
                    : StatedLimit.NONE;
            life.run(
                () -> {
                  if (stated instanceof StatedLimit.PerSecond) {
                    history.recordTold(senderName, timer.nowMillis());
                  }
                  sender.responseReceived(UPSTREAM, stated, sentMillis);
                });
          });
    }

    void kill(long downMillis) {
      if (running) {
        running = false;
        process.life.kill();
        timer.after(downMillis, this::boot);
      }
    }

    void stop(long downMillis) {
      if (serves()) {
        running = false;
        ProcessLifecycle ending = process.life;
        process.loop.stop().thenAccept(done -> ending.kill());
        timer.after(downMillis, this::boot);
      }
    }

    void pause(long millis, boolean stopsClock) {
      if (serves()) {
        ProcessLifecycle life = process.life;
        if (stopsClock) {
          life.suspend(timer);
        } else {
          life.freeze();
        }
        timer.after(
            millis,
            () -> {
              excuse();
              life.thaw(timer);
            });
      }
    }

    void setStoreUnreachable(boolean value) {
      excuse();
      storeCut = value;
      process.life.storeUnreachable = storeDown || storeCut;
    }

    void setPeersUnreachable(boolean value) {
      excuse();
      peersCut = value;
    }
  }

  UpstreamLimitSimulation(
      long seed, int entryCount, double requestsPerSecond, double limitPerSecond) {
    this.random = new Random(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.statedLimit = limitPerSecond;
    this.history = LimitHistory.of(limitPerSecond);
    this.environment =
        DutyProcess.Environment.of(
            timer, new InMemoryStore(timer, random), USAGE_WINDOW_MILLIS, SETTLE_MILLIS);
    for (int i = 0; i < entryCount; i++) {
      add();
    }
  }

  /** Adds and starts an entry. */
  Entry add() {
    Entry entry = new Entry(String.format("edge-%02d", entries.size()));
    entries.add(entry);
    entry.boot();
    return entry;
  }

  List<Entry> entries() {
    return entries;
  }

  Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  /** Sends requests for the given time. */
  void run(long millis) {
    long endMillis = timer.nowMillis() + millis;
    while (timer.nowMillis() < endMillis) {
      timer.advance(STEP_MILLIS);
      List<Entry> serving = entries.stream().filter(Entry::serves).toList();
      double expected = requestsPerSecond * STEP_MILLIS / 1_000 / Math.max(1, serving.size());
      for (Entry entry : serving) {
        int requests = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < requests; i++) {
          entry.request();
        }
      }
    }
  }

  /** Lets the upstream name its limit in all further responses. */
  void nameLimit() {
    limit = OptionalDouble.of(statedLimit);
  }

  /** Lets the upstream name no limit any more. */
  void endLimit() {
    limit = OptionalDouble.empty();
  }

  /** Sets whether the store is unavailable to all entries. */
  void setStoreDown(boolean value) {
    storeDown = value;
    entries.forEach(each -> each.process.life.storeUnreachable = storeDown || each.storeCut);
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Sets the share of the entries' reports that are lost. */
  void setReportLoss(double share) {
    reportLossShare = share;
  }

  LimitHistory history() {
    return history;
  }

  long nowMillis() {
    return timer.nowMillis();
  }
}
