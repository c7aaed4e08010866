package org.limpetvale.core.routing;

/** Ways to order the candidates. */
public sealed interface RoutingPolicy {

  /**
   * Least predicted time to the first token, with a credit for a cached prefix.
   *
   * @param otherZoneMillis cost of leaving the zone, in milliseconds
   * @param cachedPrefixCreditMillis credit for the upstream that is likely to hold the prefix
   * @param stragglerRatio share of the median rate below which an upstream is a straggler
   * @param stragglerPenaltyMillis cost of a straggler, in milliseconds
   */
  record Predicted(
      double otherZoneMillis,
      double cachedPrefixCreditMillis,
      double stragglerRatio,
      double stragglerPenaltyMillis)
      implements RoutingPolicy {

    /** Returns the policy with the values of the design. */
    public static Predicted standard() {
      return new Predicted(3, 40, 0.5, 5000);
    }
  }

  /** Each upstream in turn, whatever its load. */
  record RoundRobin() implements RoutingPolicy {}

  /** Least requests outstanding. */
  record LeastOutstanding() implements RoutingPolicy {}
}
