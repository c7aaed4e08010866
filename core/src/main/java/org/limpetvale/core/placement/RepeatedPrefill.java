package org.limpetvale.core.placement;

import java.util.Objects;

/** How the cost of reading a shared prefix again is weighed against the wait for a copy of it. */
public sealed interface RepeatedPrefill {

  /** A multiple of the time of reading, whatever the load. */
  record FixedWeight() implements RepeatedPrefill {}

  /**
   * The delay that reading causes to others.
   *
   * <p>It answers load at which engines hold fewer prefixes than callers use: in calm an empty
   * engine reads a prefix again sooner than a busy one has room; near saturation each repeated
   * reading delays all that comes behind it.
   *
   * @param demand demand on one engine
   * @param missingShare share of the shared prompt tokens of recent requests that no engine held,
   *     from 0 to 1: how likely a copy that is displaced by a further one is missed
   */
  record ByDemand(EngineDemand.Rates demand, double missingShare) implements RepeatedPrefill {
    /** Utilization above which the delay of others does not grow any more. */
    private static final double MAX_UTILIZATION = 0.9;

    public ByDemand {
      Objects.requireNonNull(demand, "demand is null");
    }

    /**
     * Returns the cost in milliseconds of delay to other requests.
     *
     * <p>Added work delays each request that arrives before the engine is idle again, and it is
     * idle again only after it has also read what arrives meanwhile. A further copy displaces
     * others, which have to be read again if they are missed.
     *
     * @param repeatedMillis time to read the part of the prefix that is not cached
     * @param queueMillis time until the engine has read what it has been given
     * @param tokensPerMilli prompt tokens that the engine reads in a millisecond
     */
    double delayMillis(double repeatedMillis, double queueMillis, double tokensPerMilli) {
      double utilization = Math.min(MAX_UTILIZATION, demand.readTokensPerMilli() / tokensPerMilli);
      double busyMillis = (queueMillis + repeatedMillis) / (1 - utilization);
      double delayedRequests = demand.requestsPerMilli() * busyMillis;
      return repeatedMillis * (delayedRequests + missingShare);
    }
  }
}
