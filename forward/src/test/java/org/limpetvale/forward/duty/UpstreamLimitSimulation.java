package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.LimitHistory;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.place.UpstreamLimits;
import org.limpetvale.forward.place.UpstreamStates;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;
import org.limpetvale.forward.testing.TestReports;

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
  final class Entry extends SimulatedEntry {
    private final long clockSkewMillis = random.nextLong(-20, 21);
    private UpstreamStates states;
    private UpstreamLimits limits;
    private String writer = "";
    private long reportNumber;
    private boolean peersCut;
    private long excusedUntilMillis;

    private Entry(String name) {
      super(environment, name);
    }

    @Override
    void processStarted(String boot) {
      DutyProcess process = process();
      writer = name + "." + boot;
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
      reportNumber = 0;
      scheduleReport(process);
    }

    @Override
    void beforeThaw() {
      excuse();
    }

    @Override
    void setStoreUnreachable(boolean value) {
      excuse();
      super.setStoreUnreachable(value);
    }

    void setPeersUnreachable(boolean value) {
      excuse();
      peersCut = value;
    }

    private void scheduleReport(DutyProcess process) {
      process.time.after(
          REPORT_PERIOD_MILLIS,
          () -> {
            if (isRunning() && process() == process) {
              report();
              scheduleReport(process);
            }
          });
    }

    private void report() {
      PeerReport report = TestReports.of(writer, ++reportNumber, Map.of(), limits.recentNotices());
      for (Entry other : entries) {
        boolean lost = peersCut || other.peersCut || random.nextDouble() < reportLossShare;
        if (other != this && !lost && other.isRunning()) {
          DutyProcess receiver = other.process();
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

    private boolean isExcused() {
      return isStoreUnreachable() || peersCut || timer.nowMillis() < excusedUntilMillis;
    }

    private void excuse() {
      excusedUntilMillis = timer.nowMillis() + EXCUSED_MILLIS;
    }

    private void request() {
      if (!limits.maySend(UPSTREAM)) {
        return;
      }
      long sentMillis = process().time.nowMillis();
      states.state(UPSTREAM).recordSend(sentMillis);
      if (!isExcused()) {
        history.recordArrival(writer, timer.nowMillis());
      }
      ProcessLifecycle life = process().life;
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
    entry.setStoreDown(storeDown);
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
    entries.forEach(each -> each.setStoreDown(value));
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
