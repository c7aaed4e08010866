package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Places calls to plain services on the upstream with the lowest predicted cost.
 *
 * <p>Suited to short calls on few slots, where a call beyond the slots waits for another call to
 * finish.
 */
public final class ServicePlacement {
  /** Typical duration of a call. */
  private static final double TYPICAL_CALL_MILLIS = 40;

  private static final double UNRESPONSIVE_PENALTY_MILLIS = 5_000;
  private static final double FAILURE_PENALTY_MILLIS = 1_000;

  /** Cost of crossing availability zones: network latency and traffic between zones. */
  private static final double CROSS_ZONE_PENALTY_MILLIS = 5;

  private ServicePlacement() {}

  /**
   * Places a call.
   *
   * @param zone availability zone of the entry
   * @param candidates upstreams that may take the call
   * @param random supplies random numbers from 0 inclusive to 1 exclusive
   * @return the choice; empty without candidates
   */
  public static Optional<Choice> choose(
      String zone, List<UpstreamLoad> candidates, DoubleSupplier random) {
    Objects.requireNonNull(zone, "zone is null");
    List<Choice> scored = candidates.stream().map(load -> score(zone, load)).toList();
    return Choice.cheapest(scored, random);
  }

  private static Choice score(String zone, UpstreamLoad load) {
    int slots = Math.max(1, load.upstream().slots());
    double rounds = Math.max(0, load.totalRequests() + 1.0 - slots) / slots;
    double roundMillis = TYPICAL_CALL_MILLIS / load.relativeSpeed();
    double predictedMillis = roundMillis * (1 + rounds);
    double costMillis = predictedMillis + roundMillis * load.totalRequests() / slots;
    costMillis +=
        load.failureRate() * FAILURE_PENALTY_MILLIS
            + (load.unresponsive() ? UNRESPONSIVE_PENALTY_MILLIS : 0);
    if (!load.upstream().zone().equals(zone)) {
      costMillis += CROSS_ZONE_PENALTY_MILLIS;
    }
    return Choice.of(load.upstream(), predictedMillis, costMillis, load);
  }
}
