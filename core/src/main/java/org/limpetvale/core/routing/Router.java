package org.limpetvale.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Orders the upstreams for one attempt of a request. */
public final class Router {
  /** Scores within this distance count as equal and are taken in turn, in milliseconds. */
  private static final double TIE_MILLIS = 2;

  private static final long MIX = 0x9E3779B97F4A7C15L;

  private Router() {}

  /**
   * Orders the available candidates, best first.
   *
   * @param candidates what is known of the upstreams
   * @param shape what matters of the request
   * @param policy way to order
   * @return the available candidates with their scores; empty when none is available
   */
  public static List<ScoredCandidate> order(
      List<Candidate> candidates, RoutingRequest shape, RoutingPolicy policy) {
    List<Candidate> available = candidates.stream().filter(Candidate::available).toList();
    return switch (policy) {
      case RoutingPolicy.Predicted predicted -> byPrediction(available, shape, predicted);
      case RoutingPolicy.RoundRobin() -> inTurn(available, shape);
      case RoutingPolicy.LeastOutstanding() -> byOutstanding(available, shape);
    };
  }

  // -- predicted time to the first token

  private static List<ScoredCandidate> byPrediction(
      List<Candidate> available, RoutingRequest shape, RoutingPolicy.Predicted policy) {
    double medianRate = medianRate(available);
    String holder = likelyHolder(available, shape.prefixHash());
    List<ScoredCandidate> scored = new ArrayList<>(available.size());
    for (Candidate each : available) {
      double queueMillis = queueMillis(each);
      double zoneMillis = each.zone().equals(shape.zone()) ? 0 : policy.otherZoneMillis();
      double creditMillis = each.vm().equals(holder) ? policy.cachedPrefixCreditMillis() : 0;
      boolean straggler = each.streamTokensPerSecond() < policy.stragglerRatio() * medianRate;
      double penaltyMillis = straggler ? policy.stragglerPenaltyMillis() : 0;
      double score =
          queueMillis + each.firstTokenMillis() + zoneMillis + penaltyMillis - creditMillis;
      scored.add(
          new ScoredCandidate(
              each, score, why(queueMillis, each, zoneMillis, penaltyMillis, creditMillis)));
    }
    scored.sort(
        Comparator.<ScoredCandidate>comparingLong(
                each -> Math.round(each.scoreMillis() / TIE_MILLIS))
            .thenComparingLong(
                each -> mix(each.candidate().vm().hashCode() ^ shape.sequenceNumber())));
    return List.copyOf(scored);
  }

  private static double queueMillis(Candidate each) {
    int free = each.capacity() - each.running();
    int ahead = each.queuedAhead() + each.sentSinceReport();
    if (ahead < free) {
      // A fuller batch runs each stream a little slower, so load also counts below capacity.
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

  /** Finds the upstream that rendezvous hashing gives the prefix to. */
  private static String likelyHolder(List<Candidate> available, long prefixHash) {
    if (prefixHash == 0) {
      return "";
    }
    return available.stream()
        .max(Comparator.comparingLong(each -> mix(prefixHash ^ each.vm().hashCode())))
        .map(Candidate::vm)
        .orElse("");
  }

  private static String why(
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

  // -- baselines

  private static List<ScoredCandidate> inTurn(List<Candidate> available, RoutingRequest shape) {
    List<Candidate> sorted =
        available.stream().sorted(Comparator.comparing(Candidate::vm)).toList();
    List<ScoredCandidate> ordered = new ArrayList<>(sorted.size());
    for (int i = 0; i < sorted.size(); i++) {
      int index = Math.floorMod(shape.sequenceNumber() + i, sorted.size());
      ordered.add(new ScoredCandidate(sorted.get(index), i, "turn"));
    }
    return List.copyOf(ordered);
  }

  private static List<ScoredCandidate> byOutstanding(
      List<Candidate> available, RoutingRequest shape) {
    return available.stream()
        .sorted(
            Comparator.comparingInt(Candidate::outstanding)
                .thenComparingLong(each -> mix(each.vm().hashCode() ^ shape.sequenceNumber())))
        .map(each -> new ScoredCandidate(each, each.outstanding(), "outstanding"))
        .toList();
  }

  private static long mix(long value) {
    long mixed = value * MIX;
    mixed ^= mixed >>> 32;
    mixed *= MIX;
    return mixed ^ (mixed >>> 29);
  }
}
