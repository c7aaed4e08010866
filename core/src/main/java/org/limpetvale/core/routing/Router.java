package org.limpetvale.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Ranks the upstreams for one attempt of a request. */
public final class Router {
  /**
   * Granularity of scores: candidates with equal rounded scores are ordered by a hash that varies
   * per request.
   */
  private static final double TIE_MILLIS = 2;

  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private Router() {}

  /**
   * Returns the available candidates, best first.
   *
   * @param candidates state of the upstreams
   * @param request request to route
   * @param policy routing policy
   * @return the available candidates with their scores; empty if none is available
   */
  public static List<ScoredCandidate> order(
      List<Candidate> candidates, RoutingRequest request, RoutingPolicy policy) {
    List<Candidate> available = candidates.stream().filter(Candidate::available).toList();
    return switch (policy) {
      case RoutingPolicy.Predicted predicted -> byPrediction(available, request, predicted);
      case RoutingPolicy.RoundRobin() -> roundRobin(available, request);
      case RoutingPolicy.LeastOutstanding() -> byLeastOutstanding(available, request);
    };
  }

  // Predicted time to the first token

  private static List<ScoredCandidate> byPrediction(
      List<Candidate> available, RoutingRequest request, RoutingPolicy.Predicted policy) {
    double medianRate = medianRate(available);
    String holder = likelyPrefixHolder(available, request.prefixHash());
    List<ScoredCandidate> scored = new ArrayList<>(available.size());
    for (Candidate each : available) {
      double queueMillis = queueMillis(each);
      double zoneMillis = each.zone().equals(request.zone()) ? 0 : policy.otherZoneMillis();
      double creditMillis = each.vm().equals(holder) ? policy.cachedPrefixCreditMillis() : 0;
      boolean straggler = each.streamTokensPerSecond() < policy.stragglerRatio() * medianRate;
      double penaltyMillis = straggler ? policy.stragglerPenaltyMillis() : 0;
      double score =
          queueMillis + each.firstTokenMillis() + zoneMillis + penaltyMillis - creditMillis;
      scored.add(
          new ScoredCandidate(
              each,
              score,
              scoreBreakdown(queueMillis, each, zoneMillis, penaltyMillis, creditMillis)));
    }
    scored.sort(
        Comparator.<ScoredCandidate>comparingLong(
                each -> Math.round(each.scoreMillis() / TIE_MILLIS))
            .thenComparingLong(
                each -> mix(each.candidate().vm().hashCode() ^ request.sequenceNumber())));
    return List.copyOf(scored);
  }

  private static double queueMillis(Candidate each) {
    int free = each.capacity() - each.running();
    int ahead = each.queuedAhead() + each.sentSinceReport();
    if (ahead < free) {
      // A larger batch slows down each stream a little, so load counts even below capacity.
      return (each.running() + ahead) / (double) Math.max(1, each.capacity()) * TIE_MILLIS * 10;
    }
    return TIE_MILLIS * 10
        + (ahead - Math.max(0, free) + 1) * each.meanServiceMillis() / Math.max(1, each.capacity());
  }

  private static double medianRate(List<Candidate> available) {
    double[] rates =
        available.stream()
            .mapToDouble(Candidate::streamTokensPerSecond)
            .filter(rate -> rate > 0)
            .toArray();
    if (rates.length < 3) {
      return 0;
    }
    Arrays.sort(rates);
    return rates[rates.length / 2];
  }

  /**
   * Returns the upstream that rendezvous hashing assigns to the prefix, or an empty string without
   * prefix.
   */
  private static String likelyPrefixHolder(List<Candidate> available, long prefixHash) {
    if (prefixHash == 0) {
      return "";
    }
    return available.stream()
        .max(Comparator.comparingLong(each -> mix(prefixHash ^ each.vm().hashCode())))
        .map(Candidate::vm)
        .orElse("");
  }

  private static String scoreBreakdown(
      double queueMillis, Candidate each, double zoneMillis, double penaltyMillis, double credit) {
    return "queue="
        + Math.round(queueMillis)
        + " first="
        + Math.round(each.firstTokenMillis())
        + " zone="
        + Math.round(zoneMillis)
        + " straggler="
        + Math.round(penaltyMillis)
        + " prefix=-"
        + Math.round(credit);
  }

  // Baseline policies

  private static List<ScoredCandidate> roundRobin(
      List<Candidate> available, RoutingRequest request) {
    List<Candidate> sorted =
        available.stream().sorted(Comparator.comparing(Candidate::vm)).toList();
    List<ScoredCandidate> ordered = new ArrayList<>(sorted.size());
    for (int i = 0; i < sorted.size(); i++) {
      int index = Math.floorMod(request.sequenceNumber() + i, sorted.size());
      ordered.add(new ScoredCandidate(sorted.get(index), i, "turn"));
    }
    return List.copyOf(ordered);
  }

  private static List<ScoredCandidate> byLeastOutstanding(
      List<Candidate> available, RoutingRequest request) {
    return available.stream()
        .sorted(
            Comparator.comparingInt(Candidate::outstanding)
                .thenComparingLong(each -> mix(each.vm().hashCode() ^ request.sequenceNumber())))
        .map(each -> new ScoredCandidate(each, each.outstanding(), "outstanding"))
        .toList();
  }

  private static long mix(long value) {
    long mixed = value * HASH_MULTIPLIER;
    mixed ^= mixed >>> 32;
    mixed *= HASH_MULTIPLIER;
    return mixed ^ (mixed >>> 29);
  }
}
