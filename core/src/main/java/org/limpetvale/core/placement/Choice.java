package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.limpetvale.core.fleet.Upstream;

/**
 * The upstream chosen for a request, or a rated candidate.
 *
 * @param upstream the chosen upstream
 * @param predictedMillis predicted time to the first event or to the answer, in milliseconds
 * @param costMillis predicted time plus penalties for delaying other requests and for the risk of
 *     failure
 * @param load load of the upstream that the choice was based on
 * @param passedOver the candidate with the most cached prompt tokens, if it has more of them than
 *     the chosen one
 */
public record Choice(
    Upstream upstream,
    double predictedMillis,
    double costMillis,
    UpstreamLoad load,
    Optional<Choice> passedOver) {
  public Choice {
    Objects.requireNonNull(upstream, "upstream is null");
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(passedOver, "passedOver is null");
  }

  /**
   * Returns the choice of the lowest cost; a random one if several have it, so that entries that
   * see equal upstreams do not all choose the same one.
   *
   * @param random supplies random numbers from 0 inclusive to 1 exclusive
   */
  static Optional<Choice> cheapest(List<Choice> choices, DoubleSupplier random) {
    double lowestMillis =
        choices.stream().mapToDouble(Choice::costMillis).min().orElse(Double.POSITIVE_INFINITY);
    List<Choice> cheapest =
        choices.stream().filter(each -> each.costMillis() <= lowestMillis).toList();
    return cheapest.isEmpty()
        ? Optional.empty()
        : Optional.of(cheapest.get((int) (random.getAsDouble() * cheapest.size())));
  }

  /** Returns a choice without a passed-over candidate. */
  public static Choice of(
      Upstream upstream, double predictedMillis, double costMillis, UpstreamLoad load) {
    return new Choice(upstream, predictedMillis, costMillis, load, Optional.empty());
  }

  /**
   * Returns this choice with the given candidate as passed over, if that has more prompt tokens
   * cached.
   */
  Choice withPassedOver(Choice mostCached) {
    boolean hasMoreCached = mostCached.load.cachedTokens() > load.cachedTokens();
    return new Choice(
        upstream,
        predictedMillis,
        costMillis,
        load,
        hasMoreCached ? Optional.of(mostCached) : passedOver);
  }
}
