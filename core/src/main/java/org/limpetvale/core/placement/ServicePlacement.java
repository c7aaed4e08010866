package org.limpetvale.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Places calls of plain services on the least loaded upstream.
 *
 * <p>The load that it answers: short calls on few slots, where one call too many at an upstream
 * waits for a whole other call.
 */
public final class ServicePlacement {
  /** Usual time of a call. */
  private static final double CALL_MILLIS = 40;

  private static final double SILENT_MILLIS = 5_000;
  private static final double FAILURE_MILLIS = 1_000;

  /** Cost of another zone, for its delay and the bytes between zones. */
  private static final double OTHER_ZONE_MILLIS = 5;

  private ServicePlacement() {}

  /**
   * Places a call.
   *
   * @param zone availability zone of the entry
   * @param candidates upstreams that may take it
   * @return the choice; empty without candidates
   */
  public static Optional<Choice> choose(String zone, List<UpstreamLoad> candidates) {
    Objects.requireNonNull(zone, "zone is null");
    return candidates.stream()
        .map(load -> rate(zone, load))
        .min(Comparator.comparingDouble(Choice::costMillis));
  }

  private static Choice rate(String zone, UpstreamLoad load) {
    int slots = Math.max(1, load.upstream().slots());
    double rounds = Math.max(0, load.totalRequests() + 1.0 - slots) / slots;
    double predicted = CALL_MILLIS * (1 + rounds) / load.relativeSpeed();
    double cost = predicted + CALL_MILLIS * load.totalRequests() / slots;
    cost += load.failureRate() * FAILURE_MILLIS + (load.unresponsive() ? SILENT_MILLIS : 0);
    if (!load.upstream().zone().equals(zone)) {
      cost += OTHER_ZONE_MILLIS;
    }
    return Choice.of(load.upstream(), predicted, cost, load);
  }
}
