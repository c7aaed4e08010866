package org.limpetvale.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Places model requests by the predicted time to the first event and the delay they cause to other
 * streams.
 *
 * <p>Prompts differ widely in length and share long prefixes. An engine with a cached prefix is
 * preferred while its queue costs less than reading the prefix again on another engine.
 */
public final class EnginePlacement {
  /** Attention time for a million pairs of an uncached token and a token before it. */
  private static final double MILLIS_PER_MILLION_PAIRS = 1.0;

  private static final double PAIRS_PER_MILLION = 1_000_000;

  /** Delay for each request at the upstream beyond its slots. */
  private static final double SLOT_WAIT_MILLIS = 40;

  /** Delay that each running request adds to the first event. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 1.0;

  private static final double BASE_LATENCY_MILLIS = 10;

  /**
   * Share of the prompt backlog that streams with short gap targets tolerate up to which other
   * requests may add to it. The rest is a margin for requests that other entries have sent but not
   * yet reported.
   */
  private static final double ADDED_BACKLOG_SHARE = 0.6;

  /**
   * Weight of the time to read a shared prefix again, which also delays later requests on that
   * engine and displaces other cache contents.
   */
  private static final double REPEATED_PREFILL_WEIGHT = 4;

  /**
   * Weight of reading a shared prefix again, for a request that cannot wait, on the first two
   * engines of the preference order.
   */
  private static final double URGENT_REPEATED_PREFILL_WEIGHT = 0.3;

  private static final double DELAYED_STREAM_PENALTY_MILLIS = 120;

  /** Cost of placing a stream with a short gap target where it is likely to miss that target. */
  private static final double MISSED_GAP_PENALTY_MILLIS = 300;

  /** Cost of placing a long prompt in the tight pool. */
  private static final double LONG_IN_TIGHT_POOL_PENALTY_MILLIS = 600;

  /**
   * Cost of placing a prompt in the tight pool that alone exceeds no gap target. Such requests stay
   * out of the tight pool while queueing on the other engines costs less: they would fill engines
   * that have no queue, and three of their prompts in a row make all streams there miss their gap
   * targets.
   */
  private static final double MEDIUM_IN_TIGHT_POOL_PENALTY_MILLIS = 300;

  /**
   * Cost of placing a stream with a short gap target outside the tight pool, the same as that of a
   * long prompt inside it. Engines outside are idle for moments only: the next long prompt makes
   * the stream miss its target, whatever they have to read now.
   */
  private static final double TIGHT_OUTSIDE_POOL_PENALTY_MILLIS = LONG_IN_TIGHT_POOL_PENALTY_MILLIS;

  /** Cost of an engine of half the usual speed, because a stream's events take longer there. */
  private static final double HALF_SPEED_PENALTY_MILLIS = 200;

  /** Speed up to which an engine counts as clearly slower than usual. */
  private static final double CLEARLY_SLOWER_SPEED = 0.5;

  private static final double UNRESPONSIVE_PENALTY_MILLIS = 5_000;
  private static final double FAILURE_PENALTY_MILLIS = 2_000;

  /** Cost of traffic between availability zones. */
  private static final double CROSS_ZONE_PENALTY_MILLIS = 6;

  private EnginePlacement() {}

  /**
   * Places a request.
   *
   * @param request request to place
   * @param model estimated behaviour of the engines
   * @param pools split of the engines into pools
   * @param candidates engines that may take the request
   * @param random supplies random numbers from 0 inclusive to 1 exclusive
   * @return the choice; empty without candidates
   */
  public static Optional<Choice> choose(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      List<UpstreamLoad> candidates,
      DoubleSupplier random) {
    Objects.requireNonNull(request, "request is null");
    Objects.requireNonNull(model, "model is null");
    List<Choice> scored =
        candidates.stream().map(load -> score(request, model, pools, load)).toList();
    Optional<Choice> mostCached =
        scored.stream().max(Comparator.comparingInt(each -> each.load().cachedTokens()));
    return Choice.cheapest(scored, random)
        .map(best -> best.withPassedOver(mostCached.orElseThrow()));
  }

  /** Returns the time to read the uncached part of a prompt, in milliseconds. */
  static double prefillMillis(EngineModel model, int promptTokens, int cachedTokens) {
    double uncached = Math.max(0, promptTokens - cachedTokens);
    return uncached / model.prefillTokensPerMilli() + attentionMillis(promptTokens, cachedTokens);
  }

  /**
   * Returns the attention part of the prefill time, which grows with the square of the prompt
   * length.
   */
  static double attentionMillis(int promptTokens, int cachedTokens) {
    double uncached = Math.max(0, promptTokens - cachedTokens);
    return uncached * (cachedTokens + uncached / 2) / PAIRS_PER_MILLION * MILLIS_PER_MILLION_PAIRS;
  }

  /**
   * Returns the predicted time to the first event on an engine of the usual speed without other
   * requests, in milliseconds.
   */
  public static double firstEventMillis(EngineModel model, int promptTokens, int cachedTokens) {
    return BASE_LATENCY_MILLIS + prefillMillis(model, promptTokens, cachedTokens);
  }

  private static Choice score(
      PlacementRequest request, EngineModel model, EnginePools pools, UpstreamLoad load) {
    PromptShape shape = request.shape();
    int uncached = load.uncachedTokens(shape.promptTokens());
    double readingMillis =
        prefillMillis(model, shape.promptTokens(), load.cachedTokens())
            + load.pendingPromptTokens() / model.prefillTokensPerMilli();
    double predictedMillis =
        BASE_LATENCY_MILLIS + slotMillis(load) + readingMillis / load.relativeSpeed();
    double costMillis =
        predictedMillis
            + keptSpeedMillis(request, pools, load, readingMillis)
            + reliabilityPenaltyMillis(request, load)
            + poolPenaltyMillis(request, model, pools, load, uncached)
            + gapPenaltyMillis(request, model, pools, load, uncached);
    boolean urgentOnPreferred = !request.canWait() && load.affinityRank() <= 1;
    double weight = urgentOnPreferred ? URGENT_REPEATED_PREFILL_WEIGHT : REPEATED_PREFILL_WEIGHT;
    costMillis += weight * prefillMillis(model, shape.sharedTokens(), load.cachedTokens());
    if (!load.upstream().zone().equals(request.zone())) {
      costMillis += CROSS_ZONE_PENALTY_MILLIS;
    }
    return Choice.of(load.upstream(), predictedMillis, costMillis, load);
  }

  private static double slotMillis(UpstreamLoad load) {
    int excess = Math.max(0, load.totalRequests() - load.upstream().slots());
    return load.totalRequests() * MILLIS_PER_RUNNING_REQUEST + excess * SLOT_WAIT_MILLIS;
  }

  /**
   * Returns what a fast engine of the tight pool would save other requests. Its speed is kept for
   * streams with short gap targets, so that it does not draw the long prompts that make them miss
   * these.
   */
  private static double keptSpeedMillis(
      PlacementRequest request, EnginePools pools, UpstreamLoad load, double readingMillis) {
    boolean kept =
        !request.tightGap()
            && load.relativeSpeed() > 1
            && pools.tightPoolIds().contains(load.upstream().id());
    return kept ? readingMillis * (1 - 1 / load.relativeSpeed()) : 0;
  }

  /**
   * Returns the cost of an engine that may not answer, or whose events take longer than those of
   * others. Without a short gap target, only a clearly slower engine makes a stream late.
   */
  private static double reliabilityPenaltyMillis(PlacementRequest request, UpstreamLoad load) {
    boolean paceMatters = request.tightGap() || load.relativeSpeed() <= CLEARLY_SLOWER_SPEED;
    double slowMillis =
        paceMatters ? Math.max(0, 1 / load.relativeSpeed() - 1) * HALF_SPEED_PENALTY_MILLIS : 0;
    return slowMillis
        + load.failureRate() * FAILURE_PENALTY_MILLIS
        + (load.unresponsive() ? UNRESPONSIVE_PENALTY_MILLIS : 0);
  }

  private static double poolPenaltyMillis(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      UpstreamLoad load,
      int uncachedTokens) {
    if (pools.tightPoolIds().isEmpty()) {
      return 0;
    }
    boolean inTightPool = pools.tightPoolIds().contains(load.upstream().id());
    if (request.tightGap()) {
      return inTightPool ? 0 : TIGHT_OUTSIDE_POOL_PENALTY_MILLIS;
    }
    if (!inTightPool) {
      return 0;
    }
    return uncachedTokens > model.prefillTokensWithinGap(pools.shortestGapMillis())
        ? LONG_IN_TIGHT_POOL_PENALTY_MILLIS
        : MEDIUM_IN_TIGHT_POOL_PENALTY_MILLIS;
  }

  /** Returns the cost of missed gap targets if the engine has too many prompt tokens to read. */
  private static double gapPenaltyMillis(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      UpstreamLoad load,
      int uncachedTokens) {
    double backlogTokens = (double) load.pendingPromptTokens() + uncachedTokens;
    if (request.tightGap()) {
      double toleratedTokens =
          load.relativeSpeed() * model.prefillTokensWithinGap(request.route().targetGapMillis());
      return backlogTokens > toleratedTokens ? MISSED_GAP_PENALTY_MILLIS : 0;
    }
    double toleratedTokens =
        ADDED_BACKLOG_SHARE
            * load.relativeSpeed()
            * model.prefillTokensWithinGap(pools.shortestGapMillis());
    return backlogTokens > toleratedTokens
        ? DELAYED_STREAM_PENALTY_MILLIS * load.tightStreams()
        : 0;
  }
}
