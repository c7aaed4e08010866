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

/** The latest reports of the other entries. Must only be used on the event loop. */
public final class PeerReports {
  /** Maximum age of a report whose loads are used. */
  private static final long MAX_FRESH_AGE_MILLIS = 1_000;

  /** Maximum age of the last report of an entry that counts as running. */
  private static final long MAX_LIVE_AGE_MILLIS = 2_500;

  /** Age after which a report is removed. */
  private static final long RETENTION_MILLIS = 60_000;

  /** Time for which sums over all reports are cached; each placement reads many of them. */
  private static final long SUMS_CACHE_MILLIS = 20;

  private final TimerService timer;
  private Consumer<PeerReport> onReport = report -> {};
  private final Map<String, ReceivedReport> reports = new HashMap<>();

  private Optional<Release> release = Optional.empty();
  private Sums sums = Sums.NONE;
  private long sumsAtMillis = Long.MIN_VALUE;

  private record ReceivedReport(PeerReport report, long atMillis) {}

  /**
   * A lease that an entry reported as finally released.
   *
   * @param epoch fencing token of the lease
   * @param firstReceivedMillis monotonic time at which the release was first reported
   */
  public record Release(long epoch, long firstReceivedMillis) {}

  private PeerReports(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns an instance without reports. */
  public static PeerReports of(TimerService timer) {
    return new PeerReports(timer);
  }

  /** Sets an action that also receives each accepted report. */
  public void onReport(Consumer<PeerReport> action) {
    onReport = Objects.requireNonNull(action, "action is null");
  }

  /** Stores a report unless a later one of the same entry is known. */
  public void accept(PeerReport report) {
    ReceivedReport known = reports.get(report.writer());
    if (known != null && known.report().sequenceNumber() >= report.sequenceNumber()) {
      return;
    }
    long nowMillis = timer.nowMillis();
    boolean keepsUsage = known != null && report.closedWindow() == PeerReport.USAGE_OMITTED;
    PeerReport merged = keepsUsage ? report.withUsageOf(known.report()) : report;
    reports.put(report.writer(), new ReceivedReport(merged, nowMillis));
    noteRelease(report.releasedEpoch(), nowMillis);
    reports.values().removeIf(each -> nowMillis - each.atMillis() > RETENTION_MILLIS);
    onReport.accept(report);
  }

  private void noteRelease(long epoch, long nowMillis) {
    if (epoch > release.map(Release::epoch).orElse(0L)) {
      release = Optional.of(new Release(epoch, nowMillis));
    }
  }

  /** Returns the newest reported release of the lease if it has the given fencing token. */
  public Optional<Release> releaseOf(long epoch) {
    return release.filter(each -> each.epoch() == epoch);
  }

  /** Returns whether any other entry has a fresh report. */
  public boolean hasFreshReport() {
    return sums().freshReports() > 0;
  }

  /**
   * Returns the load of the other entries on an upstream, from their fresh reports: the sums of
   * their requests, and the means of their failure shares and known speeds. The means keep an entry
   * with a bad network path from deciding for all.
   */
  public PeerReport.Load peerLoad(String upstreamId) {
    return sums().byUpstream().getOrDefault(upstreamId, PeerReport.Load.NONE);
  }

  /** Returns the number of open streams with a short gap target at the other entries. */
  public int tightStreams() {
    return sums().tightStreams();
  }

  /** Returns the number of other entries that count as running by their last report. */
  public int liveEntryCount() {
    return sums().liveEntries();
  }

  private Sums sums() {
    long nowMillis = timer.nowMillis();
    if (sumsAtMillis == Long.MIN_VALUE || nowMillis - sumsAtMillis >= SUMS_CACHE_MILLIS) {
      sums = computeSums(nowMillis);
      sumsAtMillis = nowMillis;
    }
    return sums;
  }

  private Sums computeSums(long nowMillis) {
    Map<String, LoadSum> byUpstream = new HashMap<>();
    int fresh = 0;
    int live = 0;
    for (ReceivedReport each : reports.values()) {
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
   * Sums over the reports.
   *
   * @param byUpstream load of the other entries by upstream
   * @param tightStreams open streams with a short gap target
   * @param freshReports number of fresh reports
   * @param liveEntries number of entries that count as running
   */
  private record Sums(
      Map<String, PeerReport.Load> byUpstream,
      int tightStreams,
      int freshReports,
      int liveEntries) {
    private static final Sums NONE = new Sums(Map.of(), 0, 0, 0);
  }

  /** Accumulates the loads of several entries on one upstream. */
  private static final class LoadSum {
    private int requests;
    private int pendingPromptTokens;
    private int tightStreams;
    private int failurePercentSum;
    private int reporters;
    private int speedPercentSum;
    private int speedReporters;
    private int statedSpeedPercentSum;
    private int statedSpeedReporters;

    void add(PeerReport.Load load) {
      requests += load.requests();
      pendingPromptTokens += load.pendingPromptTokens();
      tightStreams += load.tightStreams();
      failurePercentSum += load.failurePercent();
      reporters++;
      speedPercentSum += load.speedPercent();
      speedReporters += load.speedPercent() > 0 ? 1 : 0;
      statedSpeedPercentSum += load.statedSpeedPercent();
      statedSpeedReporters += load.statedSpeedPercent() > 0 ? 1 : 0;
    }

    PeerReport.Load load() {
      return new PeerReport.Load(
          requests,
          pendingPromptTokens,
          tightStreams,
          failurePercentSum / reporters,
          speedReporters == 0 ? 0 : speedPercentSum / speedReporters,
          statedSpeedReporters == 0 ? 0 : statedSpeedPercentSum / statedSpeedReporters);
    }
  }

  /** Returns the engine models that the other running entries measured for a service. */
  public List<EngineModel> engineModels(String service) {
    long nowMillis = timer.nowMillis();
    return reports.values().stream()
        .filter(each -> isLive(each, nowMillis))
        .flatMap(each -> Stream.ofNullable(each.report().engines().get(service)))
        .toList();
  }

  /** Returns the number of requests that wait for a service at the other entries. */
  public int waitingRequests(String service) {
    long nowMillis = timer.nowMillis();
    return reports.values().stream()
        .filter(each -> isFresh(each, nowMillis))
        .mapToInt(each -> each.report().waiting().getOrDefault(service, 0))
        .sum();
  }

  private static boolean isLive(ReceivedReport heard, long nowMillis) {
    return nowMillis - heard.atMillis() <= MAX_LIVE_AGE_MILLIS;
  }

  private static boolean isFresh(ReceivedReport heard, long nowMillis) {
    return nowMillis - heard.atMillis() <= MAX_FRESH_AGE_MILLIS;
  }

  /**
   * Returns the newest version of the configuration that another running entry has in force;
   * negative if none is known.
   */
  public long newestConfigVersion() {
    long nowMillis = timer.nowMillis();
    return reports.values().stream()
        .filter(each -> isLive(each, nowMillis))
        .mapToLong(each -> each.report().configVersion())
        .max()
        .orElse(-1);
  }

  /**
   * Returns the known differences between the other entries' wall clocks and the store's clock.
   *
   * @param storeEra era of the store, whose clock may have gone back at its beginning
   */
  public List<Long> clockOffsets(long storeEra) {
    return reports.values().stream()
        .filter(each -> each.report().storeEra() == storeEra)
        .map(each -> each.report().clockOffsetMillis())
        .filter(offset -> offset != 0)
        .toList();
  }

  /** Returns the ids of the entries that count as running by their last report. */
  public Set<String> liveEntryIds() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    reports.forEach(
        (writer, heard) -> {
          if (nowMillis - heard.atMillis() <= MAX_LIVE_AGE_MILLIS) {
            live.add(writer);
          }
        });
    return live;
  }

  /** Returns the ids of the entries whose usage counts of a window are final. */
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

  /** Returns the last reported usage counts of a window, by entry. */
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
