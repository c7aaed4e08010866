package org.limpetvale.forward.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.time.TimerService;

/** The newest reports of the other entries; for the event loop only. */
public final class PeerReports {
  /** Age up to which a report's loads are used. */
  private static final long FRESH_MILLIS = 1_000;

  /** Age up to which an entry counts as running. */
  private static final long LIVE_MILLIS = 2_500;

  /** Age after which an entry's report is dropped. */
  private static final long KEPT_MILLIS = 60_000;

  /** Time for which sums over all reports are used, as each placement asks for many of them. */
  private static final long SUMS_MILLIS = 20;

  private final TimerService timer;
  private Consumer<PeerReport> onReport = report -> {};
  private final Map<String, Heard> reports = new HashMap<>();

  private Optional<Release> release = Optional.empty();
  private Sums sums = Sums.NONE;
  private long sumsAtMillis = Long.MIN_VALUE;

  private record Heard(PeerReport report, long atMillis) {}

  /**
   * A lease that an entry told to have given up for good.
   *
   * @param epoch its fencing number
   * @param firstReceivedMillis when that was heard first
   */
  public record Release(long epoch, long firstReceivedMillis) {}

  private PeerReports(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns a book without reports. */
  public static PeerReports of(TimerService timer) {
    return new PeerReports(timer);
  }

  /** Sets what also takes each report. */
  public void onReport(Consumer<PeerReport> action) {
    onReport = Objects.requireNonNull(action, "action is null");
  }

  /** Takes a report, unless a later one of the same entry is known. */
  public void accept(PeerReport report) {
    Heard known = reports.get(report.writer());
    if (known != null && known.report().sequenceNumber() >= report.sequenceNumber()) {
      return;
    }
    long nowMillis = timer.nowMillis();
    boolean keepsUsage = known != null && report.closedWindow() == PeerReport.USAGE_OMITTED;
    PeerReport whole = keepsUsage ? report.withUsageOf(known.report()) : report;
    reports.put(report.writer(), new Heard(whole, nowMillis));
    noteRelease(report.releasedEpoch(), nowMillis);
    reports.values().removeIf(each -> nowMillis - each.atMillis() > KEPT_MILLIS);
    onReport.accept(report);
  }

  private void noteRelease(long epoch, long nowMillis) {
    if (epoch > release.map(Release::epoch).orElse(0L)) {
      release = Optional.of(new Release(epoch, nowMillis));
    }
  }

  /** Returns the newest release of the lease that was told, if it is of a fencing number. */
  public Optional<Release> releaseOf(long epoch) {
    return release.filter(each -> each.epoch() == epoch);
  }

  // -- loads

  /** Tells whether any other entry has reported lately. */
  public boolean hasFreshReport() {
    return sums().fresh() > 0;
  }

  /**
   * Returns what the other entries have at an upstream, as far as they have reported lately: sums,
   * and the means of their failure shares and of the speeds that they know, so that one with a bad
   * path does not speak for all.
   */
  public PeerReport.Load peerLoad(String upstreamId) {
    return sums().byUpstream().getOrDefault(upstreamId, PeerReport.Load.NONE);
  }

  /** Returns the streams with a short gap target that other entries have open. */
  public int tightStreams() {
    return sums().tightStreams();
  }

  /** Returns the number of other entries that have reported lately, and so count as running. */
  public int liveEntryCount() {
    return sums().live();
  }

  private Sums sums() {
    long nowMillis = timer.nowMillis();
    if (sumsAtMillis == Long.MIN_VALUE || nowMillis - sumsAtMillis >= SUMS_MILLIS) {
      sums = sumUp(nowMillis);
      sumsAtMillis = nowMillis;
    }
    return sums;
  }

  private Sums sumUp(long nowMillis) {
    Map<String, LoadSum> byUpstream = new HashMap<>();
    int fresh = 0;
    int live = 0;
    for (Heard each : reports.values()) {
      live += isLive(each, nowMillis) ? 1 : 0;
      if (isFresh(each, nowMillis)) {
        fresh++;
        each.report()
            .loads()
            .forEach((id, load) -> byUpstream.computeIfAbsent(id, key -> new LoadSum()).add(load));
      }
    }
    Map<String, PeerReport.Load> loads = new HashMap<>();
    byUpstream.forEach((id, sum) -> loads.put(id, sum.load()));
    int tight = loads.values().stream().mapToInt(PeerReport.Load::tightStreams).sum();
    return new Sums(loads, tight, fresh, live);
  }

  /**
   * What the reports tell together.
   *
   * @param byUpstream what the others have at each upstream
   * @param tightStreams streams with a short gap target that they have open
   * @param fresh reports that are fresh
   * @param live entries that count as running
   */
  private record Sums(
      Map<String, PeerReport.Load> byUpstream, int tightStreams, int fresh, int live) {
    private static final Sums NONE = new Sums(Map.of(), 0, 0, 0);
  }

  /** Adds up what entries have at one upstream. */
  private static final class LoadSum {
    private int requests;
    private int pendingPromptTokens;
    private int tightStreams;
    private int failurePercents;
    private int witnesses;
    private int speedPercents;
    private int speedWitnesses;

    void add(PeerReport.Load load) {
      requests += load.requests();
      pendingPromptTokens += load.pendingPromptTokens();
      tightStreams += load.tightStreams();
      failurePercents += load.failurePercent();
      witnesses++;
      speedPercents += load.speedPercent();
      speedWitnesses += load.speedPercent() > 0 ? 1 : 0;
    }

    PeerReport.Load load() {
      return new PeerReport.Load(
          requests,
          pendingPromptTokens,
          tightStreams,
          failurePercents / witnesses,
          speedWitnesses == 0 ? 0 : speedPercents / speedWitnesses);
    }
  }

  /** Returns what the other entries have learned of the engines of a service. */
  public List<EngineModel> engineModels(String service) {
    long nowMillis = timer.nowMillis();
    return reports.values().stream()
        .filter(each -> isLive(each, nowMillis))
        .flatMap(each -> Stream.ofNullable(each.report().engines().get(service)))
        .toList();
  }

  /** Returns the requests that wait for a service at other entries. */
  public int waitingRequests(String service) {
    long nowMillis = timer.nowMillis();
    return reports.values().stream()
        .filter(each -> isFresh(each, nowMillis))
        .mapToInt(each -> each.report().waiting().getOrDefault(service, 0))
        .sum();
  }

  private static boolean isLive(Heard heard, long nowMillis) {
    return nowMillis - heard.atMillis() <= LIVE_MILLIS;
  }

  private static boolean isFresh(Heard heard, long nowMillis) {
    return nowMillis - heard.atMillis() <= FRESH_MILLIS;
  }

  // -- clocks

  /** Returns the differences between their time of day and the store's clock that others noted. */
  public List<Long> clockOffsets() {
    return reports.values().stream()
        .map(each -> each.report().clockOffsetMillis())
        .filter(offset -> offset != 0)
        .toList();
  }

  // -- usage

  /** Returns the entries that have reported lately. */
  public Set<String> liveEntryIds() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    reports.forEach(
        (writer, heard) -> {
          if (nowMillis - heard.atMillis() <= LIVE_MILLIS) {
            live.add(writer);
          }
        });
    return live;
  }

  /** Returns the entries whose counts of a window do not grow any more. */
  public Set<String> entriesWithClosed(long window) {
    Set<String> closed = new HashSet<>();
    reports.forEach(
        (writer, heard) -> {
          if (heard.report().closedWindow() >= window) {
            closed.add(writer);
          }
        });
    return closed;
  }

  /** Returns the counts of a window by entry, as last reported. */
  public Map<String, Map<String, Long>> usageByEntry(long window) {
    Map<String, Map<String, Long>> byWriter = new HashMap<>();
    reports.forEach(
        (writer, heard) -> {
          Map<String, Long> counts = heard.report().usage().get(window);
          if (counts != null) {
            byWriter.put(writer, counts);
          }
        });
    return byWriter;
  }
}
