package org.limpetvale.forward.place;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.UpstreamLatencyRatio;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.spi.ResponseHead;

/** What this entry knows of one upstream process; for the event loop only. */
public final class UpstreamState {
  private static final double FAILURE_WEIGHT = 0.15;

  /** Time after which an upstream that nobody tried is trusted half as much again. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 5_000;

  private static final double PERCENT = 100;
  private static final double OTHERS_HALF_LIFE_MILLIS = 1_500;
  private static final long FIRST_PAUSE_MILLIS = 500;
  private static final long LONGEST_PAUSE_MILLIS = 4_000;

  /** A request that this entry has sent there. */
  public interface SentRequest {
    /** Returns the monotonic time of its last sign of life, or of its sending. */
    long lastActivityMillis();

    /** Returns the time without a sign of life after which its upstream counts as silent. */
    long silenceTimeoutMillis();
  }

  /** Answers after which one says little of how fast the upstream is now. */
  private static final double PACE_SAMPLES = 6;

  private final Set<SentRequest> sent = new LinkedHashSet<>();
  private final UpstreamLatencyRatio pace = UpstreamLatencyRatio.empty(PACE_SAMPLES);
  private final UpstreamLatencyRatio peersPace;
  private Upstream upstream;
  private int reserved;
  private int pendingPromptTokens;
  private int tightStreams;
  private double others;
  private long othersAtMillis;
  private double failureShare;
  private long failureAtMillis;
  private long pauseMillis;
  private long pausedUntilMillis;

  UpstreamState(Upstream upstream, UpstreamLatencyRatio peersPace) {
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    this.peersPace = peersPace;
  }

  /** Returns the upstream. */
  public Upstream upstream() {
    return upstream;
  }

  void updateDescription(Upstream next) {
    upstream = next;
  }

  /** Returns the number of this entry's requests there. */
  public int ownRequests() {
    return sent.size();
  }

  // -- requests

  /**
   * Counts a request that is placed here and has no connection yet.
   *
   * @param freshTokens tokens of its prompt that the upstream has to read
   */
  public void reserve(int freshTokens) {
    reserved++;
    pendingPromptTokens += freshTokens;
  }

  /** Counts it no more, as it is sent now or was given up. */
  public void release(int freshTokens) {
    reserved--;
    pendingPromptTokens -= freshTokens;
  }

  /**
   * Notes a request that is sent now.
   *
   * @param freshTokens tokens of its prompt that the upstream has to read
   */
  public void requestSent(SentRequest request, int freshTokens, boolean tight) {
    sent.add(request);
    pendingPromptTokens += freshTokens;
    tightStreams += tight ? 1 : 0;
  }

  /** Notes the first event of a request. */
  public void promptRead(int freshTokens) {
    pendingPromptTokens -= freshTokens;
  }

  /** Notes the end of a request. */
  public void requestEnded(SentRequest request, boolean tight) {
    if (sent.remove(request)) {
      tightStreams -= tight ? 1 : 0;
    }
  }

  /** Notes the load that an answer told. */
  public void loadReported(ResponseHead.Load load, long nowMillis) {
    others = Math.max(0, load.running() + load.waiting() - sent.size());
    othersAtMillis = nowMillis;
  }

  /** Notes whether a request failed there through the upstream's fault. */
  public void recordOutcome(boolean failed, long nowMillis) {
    double now = failureShare(nowMillis);
    failureShare = now + FAILURE_WEIGHT * ((failed ? 1 : 0) - now);
    failureAtMillis = nowMillis;
  }

  /**
   * Notes an answer that begins now.
   *
   * @param millis time from the sending of its request
   * @param predictedMillis the time that was predicted
   */
  public void answerStarted(double millis, double predictedMillis, long nowMillis) {
    pace.recordAnswer(millis, predictedMillis, nowMillis);
    peersPace.recordAnswer(millis, predictedMillis, nowMillis);
  }

  private double failureShare(long nowMillis) {
    double age = Math.max(0, nowMillis - failureAtMillis);
    return failureShare * Math.pow(0.5, age / FAILURE_HALF_LIFE_MILLIS);
  }

  // -- connections

  /** Notes a connection that could not be made, and pauses attempts. */
  public void connectFailed(long nowMillis) {
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, Math.max(FIRST_PAUSE_MILLIS, pauseMillis * 2));
    pausedUntilMillis = nowMillis + pauseMillis;
    recordOutcome(true, nowMillis);
  }

  /** Notes a connection that was made. */
  public void connected() {
    pauseMillis = 0;
    pausedUntilMillis = 0;
  }

  /** Tells whether no connection should be tried now. */
  public boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  // -- view

  /**
   * Returns what is known of the upstream.
   *
   * @param cachedTokens tokens of the request's prompt that are expected in its cache
   * @param affinityRank its place in the order of preference for the request's prefix
   * @param peers what the other entries have told of it; empty when they have not been heard
   */
  UpstreamLoad load(
      int cachedTokens, int affinityRank, Optional<PeerReport.Load> peers, long nowMillis) {
    PeerReport.Load others = peers.orElse(new PeerReport.Load(othersTold(nowMillis), 0, 0, 0, 0));
    return new UpstreamLoad(
        upstream,
        sent.size() + reserved,
        others.requests(),
        Math.max(0, pendingPromptTokens) + others.pendingPromptTokens(),
        Math.max(0, pendingPromptTokens),
        tightStreams + others.tightStreams(),
        cachedTokens,
        affinityRank,
        speed(others, nowMillis),
        Math.max(failureShare(nowMillis), others.failurePercent() / PERCENT),
        silent(nowMillis));
  }

  /** Returns the speed that this entry knows itself, else the one that others tell. */
  private double speed(PeerReport.Load others, long nowMillis) {
    double own = pace.relativeSpeed(peersPace, nowMillis);
    if (own > 0) {
      return own;
    }
    return others.speedPercent() > 0 ? others.speedPercent() / PERCENT : 1;
  }

  int tightStreams() {
    return tightStreams;
  }

  /** Returns what this entry has there, for the other entries. */
  PeerReport.Load ownLoad(long nowMillis) {
    int failurePercent = (int) Math.round(failureShare(nowMillis) * PERCENT);
    int speedPercent = (int) Math.round(pace.relativeSpeed(peersPace, nowMillis) * PERCENT);
    boolean usualSpeed = sent.isEmpty() && speedPercent == PERCENT;
    return new PeerReport.Load(
        sent.size(),
        Math.max(0, pendingPromptTokens),
        tightStreams,
        failurePercent,
        usualSpeed ? 0 : speedPercent);
  }

  private int othersTold(long nowMillis) {
    double age = Math.max(0, nowMillis - othersAtMillis);
    return (int) Math.round(others * Math.pow(0.5, age / OTHERS_HALF_LIFE_MILLIS));
  }

  private boolean silent(long nowMillis) {
    int silentRequests = 0;
    for (SentRequest request : sent) {
      if (nowMillis - request.lastActivityMillis() > request.silenceTimeoutMillis()) {
        silentRequests++;
      }
    }
    return silentRequests > 0 && silentRequests * 2 >= sent.size();
  }
}
