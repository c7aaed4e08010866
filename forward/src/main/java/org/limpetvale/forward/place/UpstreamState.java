package org.limpetvale.forward.place;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.limit.OwnTurns;
import org.limpetvale.core.limit.SendTurns;
import org.limpetvale.core.placement.StatedSpeed;
import org.limpetvale.core.placement.UpstreamLatencyRatio;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.spi.UpstreamNotice;

/** What this entry knows about one upstream process. Must only be used on the event loop. */
public final class UpstreamState {
  private static final double FAILURE_WEIGHT = 0.15;

  /** Time after which the failure share of an upstream without new requests has halved. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 5_000;

  private static final double PERCENT = 100;
  private static final double OTHER_REQUESTS_HALF_LIFE_MILLIS = 1_500;
  private static final long INITIAL_PAUSE_MILLIS = 500;
  private static final long MAX_PAUSE_MILLIS = 4_000;

  /** Time between two requests after a pause, until the upstream has accepted one. */
  private static final long RETURN_INTERVAL_MILLIS = 1_000;

  /** Time after a first refusal in which other upstreams are preferred; doubles with each more. */
  private static final long MIN_AVOIDANCE_MILLIS = 250;

  private static final long MAX_AVOIDANCE_MILLIS = 4_000;

  /** Time for which sends are remembered; the longest turn of a limit is not longer. */
  private static final long SEND_MEMORY_MILLIS = 10_000;

  /** Time since its last statement for which a stated speed is reported to the other entries. */
  private static final long REPORTED_SPEED_MILLIS = 4_000;

  /** Time for which sends count as recent in the log. */
  private static final long RECENT_SENDS_MILLIS = 4_000;

  /** A request that this entry has sent to the upstream. */
  public interface SentRequest {
    /**
     * Returns the monotonic time at which the upstream last made progress on the request, or at
     * which it was sent.
     */
    long lastActivityMillis();

    /**
     * Returns the time without progress after which the upstream counts as silent on the request.
     */
    long silenceTimeoutMillis();
  }

  /**
   * Number of responses after which the weight of an earlier one in the latency ratio has fallen to
   * a third.
   */
  private static final double LATENCY_RATIO_SAMPLES = 6;

  private final Set<SentRequest> sentRequests = new LinkedHashSet<>();
  private final UpstreamLatencyRatio latencyRatio =
      UpstreamLatencyRatio.empty(LATENCY_RATIO_SAMPLES);
  private final UpstreamLatencyRatio serviceLatencyRatio;
  private final StatedSpeed statedSpeed = StatedSpeed.empty();
  private Upstream upstream;
  private int reservedRequests;
  private int pendingPromptTokens;
  private int tightStreams;
  private double otherRequests;
  private long otherRequestsAtMillis;
  private double failureShare;
  private long failureAtMillis;
  private long pauseMillis;
  private long pausedUntilMillis;
  private LimitNotice limit = LimitNotice.NONE;
  private LimitNotice ownNotice = LimitNotice.NONE;
  private boolean unreadableLimitSeen;
  private boolean leaving;
  private long askedPauseUntilMillis = Long.MIN_VALUE;
  private long avoidanceMillis;
  private long avoidedUntilMillis = Long.MIN_VALUE;

  /** Whether no response has shown yet that the upstream accepts requests again after a pause. */
  private boolean returning;

  /**
   * This entry's turns at the upstream, and what they were computed from; null before first use.
   */
  private OwnTurns ownTurns;

  private List<String> turnsOfEntries;
  private long coldSinceMillis = Long.MIN_VALUE;
  private long coldUntilMillis = Long.MIN_VALUE;

  private final Deque<Long> sentAtMillis = new ArrayDeque<>();

  UpstreamState(Upstream upstream, UpstreamLatencyRatio serviceLatencyRatio) {
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    this.serviceLatencyRatio = serviceLatencyRatio;
  }

  /** Returns the upstream. */
  public Upstream upstream() {
    return upstream;
  }

  void updateDescription(Upstream next) {
    upstream = next;
  }

  /** Returns the number of this entry's requests at the upstream. */
  public int ownRequests() {
    return sentRequests.size();
  }

  /**
   * Counts a request that is placed on the upstream but has no connection yet.
   *
   * @param freshTokens prompt tokens that the upstream has to process
   */
  public void reserve(int freshTokens) {
    reservedRequests++;
    pendingPromptTokens += freshTokens;
  }

  /** Removes a reservation because the request is sent now or was abandoned. */
  public void release(int freshTokens) {
    reservedRequests--;
    pendingPromptTokens -= freshTokens;
  }

  /**
   * Records a request that is sent now.
   *
   * @param freshTokens prompt tokens that the upstream has to process
   */
  public void requestSent(SentRequest request, int freshTokens, boolean tight) {
    sentRequests.add(request);
    pendingPromptTokens += freshTokens;
    tightStreams += tight ? 1 : 0;
  }

  /** Records the first event of a request, which shows that its prompt is processed. */
  public void promptRead(int freshTokens) {
    pendingPromptTokens -= freshTokens;
  }

  /** Records the end of a request. */
  public void requestEnded(SentRequest request, boolean tight) {
    if (sentRequests.remove(request)) {
      tightStreams -= tight ? 1 : 0;
    }
  }

  /** Records the upstream's load as reported in a response header. */
  public void loadReported(UpstreamNotice.Load load, long nowMillis) {
    otherRequests = Math.max(0, load.running() + load.waiting() - sentRequests.size());
    otherRequestsAtMillis = nowMillis;
  }

  /** Records by which factor work takes longer than usual, as the upstream states it. */
  void slowdownStated(double factor, long nowMillis) {
    statedSpeed.recordSlowdown(factor, nowMillis);
  }

  /** Records whether a request failed through the upstream's fault. */
  public void recordOutcome(boolean failed, long nowMillis) {
    double now = failureShare(nowMillis);
    failureShare = now + FAILURE_WEIGHT * ((failed ? 1 : 0) - now);
    failureAtMillis = nowMillis;
  }

  /**
   * Records the start of a response. What a cold upstream takes says nothing of its speed.
   *
   * @param millis time since the request was sent
   * @param predictedMillis predicted value of that time
   */
  public void answerStarted(double millis, double predictedMillis, long nowMillis) {
    if (isCold(nowMillis)) {
      return;
    }
    latencyRatio.recordAnswer(millis, predictedMillis, nowMillis);
    serviceLatencyRatio.recordAnswer(millis, predictedMillis, nowMillis);
  }

  private double failureShare(long nowMillis) {
    double age = Math.max(0, nowMillis - failureAtMillis);
    return failureShare * Math.pow(0.5, age / FAILURE_HALF_LIFE_MILLIS);
  }

  /** Records a failed connection attempt and pauses further attempts, with exponential backoff. */
  public void connectFailed(long nowMillis) {
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, Math.max(INITIAL_PAUSE_MILLIS, pauseMillis * 2));
    pausedUntilMillis = nowMillis + pauseMillis;
    recordOutcome(true, nowMillis);
  }

  /** Records an established connection and ends the pause. */
  public void connected() {
    pauseMillis = 0;
    pausedUntilMillis = 0;
  }

  /** Returns what is known of the upstream's limit on the requests of all entries together. */
  public LimitNotice limit() {
    return limit;
  }

  void setLimit(LimitNotice notice) {
    limit = notice;
  }

  /**
   * Extends the pause that the upstream has asked this entry for; a shorter one does not end it.
   */
  void extendAskedPause(long untilMillis) {
    askedPauseUntilMillis = Math.max(askedPauseUntilMillis, untilMillis);
    returning = true;
  }

  /** Records a response that asks for no pause, to a request sent at the given time. */
  void requestAccepted(long sentMillis) {
    returning &= sentMillis < askedPauseUntilMillis;
  }

  /**
   * Returns whether the upstream wants a request now. After a pause, it gets single requests until
   * it has accepted one.
   */
  boolean wantsRequest(long nowMillis) {
    boolean tried = returning && sendsSince(nowMillis - RETURN_INTERVAL_MILLIS) > 0;
    return !isAskedToPause(nowMillis) && !tried;
  }

  /** Returns the time until which the upstream wants no requests; in the past if it wants them. */
  long askedPauseUntilMillis() {
    return askedPauseUntilMillis;
  }

  /** Returns whether the upstream wants no requests from this entry at present. */
  public boolean isAskedToPause(long nowMillis) {
    return nowMillis < askedPauseUntilMillis;
  }

  /** Records that the upstream has refused a request of this entry. */
  void refused(long nowMillis) {
    if (!isAvoided(nowMillis)) {
      avoidanceMillis = Math.clamp(2 * avoidanceMillis, MIN_AVOIDANCE_MILLIS, MAX_AVOIDANCE_MILLIS);
      avoidedUntilMillis = nowMillis + avoidanceMillis;
    }
  }

  /** Records a response that is not a refusal. */
  void notRefused() {
    avoidanceMillis = 0;
  }

  /** Returns whether other upstreams are preferred because this one has refused requests. */
  boolean isAvoided(long nowMillis) {
    return nowMillis < avoidedUntilMillis;
  }

  /** Returns whether the upstream has stated that it is leaving. */
  public boolean isLeaving() {
    return leaving;
  }

  void setLeaving() {
    leaving = true;
  }

  /** Returns the notice that this entry has last heard from the upstream itself. */
  LimitNotice ownNotice() {
    return ownNotice;
  }

  void setOwnNotice(LimitNotice notice) {
    ownNotice = notice;
  }

  /**
   * Returns this entry's turns at the upstream.
   *
   * @param self id of this entry
   * @param entries ids of the entries that share the limit
   * @param turns turns of all entries for the limit in force
   */
  OwnTurns ownTurns(String self, List<String> entries, SendTurns turns) {
    boolean current =
        ownTurns != null && turnsOfEntries == entries && ownTurns.turns().equals(turns);
    if (!current) {
      turnsOfEntries = entries;
      ownTurns = OwnTurns.of(turns, self, entries);
    }
    return ownTurns;
  }

  /** Records that the upstream is cold until a time; an earlier one does not shorten it. */
  void extendCold(long untilMillis, long nowMillis) {
    if (!isCold(nowMillis)) {
      coldSinceMillis = nowMillis;
    }
    coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
  }

  /** Returns whether the upstream has stated that it is cold, so that it bears few requests. */
  public boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Returns when this entry learned that the upstream is cold. */
  long coldSinceMillis() {
    return coldSinceMillis;
  }

  /** Records a limit that cannot be understood; returns whether it is the first one. */
  boolean unreadableLimitReceived() {
    boolean first = !unreadableLimitSeen;
    unreadableLimitSeen = true;
    return first;
  }

  /** Records that this entry sends a request of any kind to the upstream. */
  public void recordSend(long nowMillis) {
    sentAtMillis.addLast(nowMillis);
    removeOldSends(nowMillis);
  }

  /**
   * The limit that an upstream has named, and this entry's use of it.
   *
   * @param requestsPerSecond the limit for all entries together; -1 if none is in force
   * @param recentSends requests that this entry has sent in the last four seconds
   */
  public record LimitUse(double requestsPerSecond, int recentSends) {}

  /** Returns the limit and this entry's use of it. */
  public LimitUse limitUse(long nowMillis) {
    return new LimitUse(limit.requestsPerSecond().orElse(-1), recentSends(nowMillis));
  }

  /** Returns how many requests this entry has recently sent to the upstream. */
  int recentSends(long nowMillis) {
    return sendsSince(nowMillis - RECENT_SENDS_MILLIS);
  }

  /** Returns how many requests this entry has sent to the upstream since a monotonic time. */
  int sendsSince(long fromMillis) {
    int count = 0;
    Iterator<Long> newestFirst = sentAtMillis.descendingIterator();
    while (newestFirst.hasNext() && newestFirst.next() >= fromMillis) {
      count++;
    }
    return count;
  }

  private void removeOldSends(long nowMillis) {
    while (!sentAtMillis.isEmpty() && nowMillis - sentAtMillis.peekFirst() > SEND_MEMORY_MILLIS) {
      sentAtMillis.removeFirst();
    }
  }

  /** Returns whether connection attempts are paused. */
  public boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  /**
   * Returns the load of the upstream as seen for one request.
   *
   * @param cachedTokens prompt tokens of the request that are expected in the upstream's cache
   * @param affinityRank position of the upstream in the preference order of the request's prefix
   * @param peers load reported by the other entries; empty without a fresh report
   */
  UpstreamLoad load(
      int cachedTokens, int affinityRank, Optional<PeerReport.Load> peers, long nowMillis) {
    PeerReport.Load others =
        peers.orElse(new PeerReport.Load(estimatedOtherRequests(nowMillis), 0, 0, 0, 0, 0));
    return new UpstreamLoad(
        upstream,
        sentRequests.size() + reservedRequests,
        others.requests(),
        Math.max(0, pendingPromptTokens) + others.pendingPromptTokens(),
        Math.max(0, pendingPromptTokens),
        tightStreams + others.tightStreams(),
        cachedTokens,
        affinityRank,
        speed(others, nowMillis),
        Math.max(failureShare(nowMillis), others.failurePercent() / PERCENT),
        isSilent(nowMillis));
  }

  /**
   * Returns the speed relative to the usual one: the lasting one that the upstream states, or the
   * measured one if it has become clearly slower. The measured times include the lasting speed, so
   * that the two are not multiplied.
   */
  private double speed(PeerReport.Load others, long nowMillis) {
    double lasting = lastingSpeed(others);
    double measured = latencyRatio.relativeSpeed(serviceLatencyRatio, nowMillis);
    double measuredOrReported = measured > 0 ? measured : others.speedPercent() / PERCENT;
    boolean clearlySlower = measuredOrReported > 0 && measuredOrReported < 1;
    return clearlySlower ? Math.min(measuredOrReported, lasting) : lasting;
  }

  /**
   * Returns the lasting speed of the upstream's machine relative to the usual one, as the upstream
   * states it to this entry, or to the others while this one has heard little of it.
   */
  double lastingSpeed(PeerReport.Load others) {
    if (statedSpeed.isKnown() || others.statedSpeedPercent() == 0) {
      double stated = statedSpeed.relativeSpeed();
      return stated > 0 ? stated : 1;
    }
    return others.statedSpeedPercent() / PERCENT;
  }

  int tightStreams() {
    return tightStreams;
  }

  /** Returns this entry's own load on the upstream, to report to the other entries. */
  PeerReport.Load ownLoad(long nowMillis) {
    int failurePercent = (int) Math.round(failureShare(nowMillis) * PERCENT);
    int speedPercent =
        (int) Math.round(latencyRatio.relativeSpeed(serviceLatencyRatio, nowMillis) * PERCENT);
    boolean statedLately =
        statedSpeed.isKnown() && statedSpeed.isStatedSince(nowMillis - REPORTED_SPEED_MILLIS);
    int statedSpeedPercent =
        statedLately ? (int) Math.round(statedSpeed.relativeSpeed() * PERCENT) : 0;
    boolean usualSpeed = sentRequests.isEmpty() && speedPercent == PERCENT;
    return new PeerReport.Load(
        sentRequests.size(),
        Math.max(0, pendingPromptTokens),
        tightStreams,
        failurePercent,
        usualSpeed ? 0 : speedPercent,
        statedSpeedPercent);
  }

  private int estimatedOtherRequests(long nowMillis) {
    double age = Math.max(0, nowMillis - otherRequestsAtMillis);
    return (int) Math.round(otherRequests * Math.pow(0.5, age / OTHER_REQUESTS_HALF_LIFE_MILLIS));
  }

  private boolean isSilent(long nowMillis) {
    int silentRequests = 0;
    for (SentRequest request : sentRequests) {
      if (nowMillis - request.lastActivityMillis() > request.silenceTimeoutMillis()) {
        silentRequests++;
      }
    }
    return silentRequests > 0 && silentRequests * 2 >= sentRequests.size();
  }
}
