package org.limpetvale.core.routing;

/** Policies for ranking the candidates. */
public sealed interface RoutingPolicy {

  /**
   * Ranks by predicted time to the first token, with a credit for a cached prefix.
   *
   * @param otherZoneMillis penalty for an upstream in another zone, in milliseconds
   * @param cachedPrefixCreditMillis credit for the upstream that is likely to have the prefix
   *     cached, in milliseconds
   * @param stragglerRatio fraction of the median output rate below which an upstream is a straggler
   * @param stragglerPenaltyMillis penalty for a straggler, in milliseconds
   */
  record Predicted(
      double otherZoneMillis,
      double cachedPrefixCreditMillis,
      double stragglerRatio,
      double stragglerPenaltyMillis)
      implements RoutingPolicy {

    /** Returns the policy with its default values. */
    public static Predicted standard() {
      return new Predicted(3, 40, 0.5, 5000);
    }
  }

  /** Uses each upstream in turn, regardless of load. */
  record RoundRobin() implements RoutingPolicy {}

  /** Ranks by the number of outstanding requests. */
  record LeastOutstanding() implements RoutingPolicy {}
}
