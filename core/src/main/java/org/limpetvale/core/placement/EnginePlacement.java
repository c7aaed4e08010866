package org.limpetvale.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Places model requests by predicted time to the first event and by the harm to streams beside.
 *
 * <p>The load that it answers: prompts of very different lengths that share long prefixes. An
 * engine that has a prefix in its cache is preferred as long as the queue before it costs less than
 * reading the prefix again.
 */
public final class EnginePlacement {
  /** Milliseconds of attention for a million pairs of a new token and a token before it. */
  private static final double MILLIS_PER_MILLION_PAIRS = 1.0;

  private static final double PAIRS_PER_MILLION = 1_000_000;

  /** Time that a request beyond the slots waits for each request before it. */
  private static final double SLOT_WAIT_MILLIS = 40;

  /** Time that each running request adds to the first event. */
  private static final double RUNNING_MILLIS = 1.0;

  private static final double BASE_MILLIS = 10;

  /**
   * Share of the unread prompt tokens that streams with short gap targets bear, up to which other
   * requests may add to them; other entries may add some before they are heard of.
   */
  private static final double ADDED_SHARE = 0.6;

  /**
   * Weight of the time to read a shared prefix again, which also delays all that come after it on
   * that engine and takes cache from others.
   */
  private static final double SHARED_AGAIN_WEIGHT = 4;

  /** The same on the engine that is second in the order, for a request that cannot wait. */
  private static final double SHARED_AGAIN_SECOND_WEIGHT = 0.3;

  private static final double HARM_MILLIS_PER_STREAM = 120;

  /** Cost of a stream with a short gap target where its gaps are likely to break. */
  private static final double BROKEN_GAP_MILLIS = 300;

  /** Cost of a request on engines that are set apart for others. */
  private static final double LONG_IN_TIGHT_POOL_MILLIS = 600;

  /**
   * The same for one whose prompt alone breaks no gap: with the queue of the other engines below
   * it, these requests would fill engines that have no queue, and three of their prompts in a row
   * break the gaps of all streams there.
   */
  private static final double MEDIUM_IN_TIGHT_POOL_MILLIS = 300;

  private static final double TIGHT_OUTSIDE_POOL_MILLIS = 150;

  /** Cost of an engine of half the usual speed, for the events that a stream makes there. */
  private static final double HALF_SPEED_MILLIS = 200;

  private static final double SILENT_MILLIS = 5_000;
  private static final double FAILURE_MILLIS = 2_000;

  /** Cost of another zone, for the bytes between zones. */
  private static final double OTHER_ZONE_MILLIS = 6;

  private EnginePlacement() {}

  /**
   * Places a request.
   *
   * @param request the request
   * @param model what is known of the engines
   * @param pools the split of the engines
   * @param candidates engines that may take it
   * @return the choice; empty without candidates
   */
  public static Optional<Choice> choose(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      List<UpstreamLoad> candidates) {
    Objects.requireNonNull(request, "request is null");
    Objects.requireNonNull(model, "model is null");
    List<Choice> rated =
        candidates.stream().map(load -> rate(request, model, pools, load)).toList();
    Optional<Choice> richest =
        rated.stream().max(Comparator.comparingInt(each -> each.load().cachedTokens()));
    return rated.stream()
        .min(Comparator.comparingDouble(Choice::costMillis))
        .map(best -> best.withPassedOver(richest.orElseThrow()));
  }

  /** Returns the time to read the rest of a prompt, in milliseconds. */
  static double prefillMillis(EngineModel model, int promptTokens, int cachedTokens) {
    double fresh = Math.max(0, promptTokens - cachedTokens);
    return fresh / model.prefillTokensPerMilli() + attentionMillis(promptTokens, cachedTokens);
  }

  /** Returns the part of that time which grows with the square of the prompt. */
  static double attentionMillis(int promptTokens, int cachedTokens) {
    double fresh = Math.max(0, promptTokens - cachedTokens);
    return fresh * (cachedTokens + fresh / 2) / PAIRS_PER_MILLION * MILLIS_PER_MILLION_PAIRS;
  }

  private static Choice rate(
      PlacementRequest request, EngineModel model, EnginePools pools, UpstreamLoad load) {
    PromptShape shape = request.shape();
    int fresh = load.uncachedTokens(shape.promptTokens());
    double ownMillis =
        prefillMillis(model, shape.promptTokens(), load.cachedTokens()) / load.relativeSpeed();
    double predicted = BASE_MILLIS + queueMillis(model, load) + ownMillis;
    double cost =
        predicted
            + riskMillis(load)
            + poolMillis(request, model, pools, load, fresh)
            + gapMillis(request, model, pools, load, fresh);
    boolean second = !request.canWait() && load.affinityRank() <= 1;
    double weight = second ? SHARED_AGAIN_SECOND_WEIGHT : SHARED_AGAIN_WEIGHT;
    cost += weight * prefillMillis(model, shape.sharedTokens(), load.cachedTokens());
    if (!load.upstream().zone().equals(request.zone())) {
      cost += OTHER_ZONE_MILLIS;
    }
    return Choice.of(load.upstream(), predicted, cost, load);
  }

  private static double queueMillis(EngineModel model, UpstreamLoad load) {
    double reading =
        load.pendingPromptTokens() / model.prefillTokensPerMilli() / load.relativeSpeed();
    int over = Math.max(0, load.totalRequests() - load.upstream().slots());
    return reading + load.totalRequests() * RUNNING_MILLIS + over * SLOT_WAIT_MILLIS;
  }

  private static double riskMillis(UpstreamLoad load) {
    double slowMillis = (1 / load.relativeSpeed() - 1) * HALF_SPEED_MILLIS;
    return slowMillis
        + load.failureRate() * FAILURE_MILLIS
        + (load.unresponsive() ? SILENT_MILLIS : 0);
  }

  private static double poolMillis(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      UpstreamLoad load,
      int freshTokens) {
    if (pools.tightPoolIds().isEmpty()) {
      return 0;
    }
    boolean inTightPool = pools.tightPoolIds().contains(load.upstream().id());
    if (request.tightGap()) {
      return inTightPool ? 0 : TIGHT_OUTSIDE_POOL_MILLIS;
    }
    if (!inTightPool) {
      return 0;
    }
    return freshTokens > model.prefillTokensWithinGap(pools.shortestGapMillis())
        ? LONG_IN_TIGHT_POOL_MILLIS
        : MEDIUM_IN_TIGHT_POOL_MILLIS;
  }

  /** Returns the cost of the gaps that break where the engine has too much to read. */
  private static double gapMillis(
      PlacementRequest request,
      EngineModel model,
      EnginePools pools,
      UpstreamLoad load,
      int freshTokens) {
    double unread = (double) load.pendingPromptTokens() + freshTokens;
    if (request.tightGap()) {
      double borne = model.prefillTokensWithinGap(request.route().targetGapMillis());
      return unread > borne ? BROKEN_GAP_MILLIS : 0;
    }
    double borne = ADDED_SHARE * model.prefillTokensWithinGap(pools.shortestGapMillis());
    return unread > borne ? HARM_MILLIS_PER_STREAM * load.tightStreams() : 0;
  }
}
