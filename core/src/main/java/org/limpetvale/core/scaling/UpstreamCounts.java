package org.limpetvale.core.scaling;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.limpetvale.core.fleet.ServicePolicy;

/**
 * Decides how many upstreams of a service each availability zone should have.
 *
 * <p>The load that it answers: demand that moves between zones, and the loss of a zone. Any entry
 * may send to any zone, so the number is worked out for the service as a whole and spread evenly; a
 * zone that delivers none is made up for in the others.
 */
public final class UpstreamCounts {
  /** Share of the slots that is meant to be in use, so that a burst finds room. */
  private static final double AIMED_SHARE = 0.5;

  private UpstreamCounts() {}

  /**
   * Returns the number of upstreams for each zone.
   *
   * @param bounds bounds for each zone
   * @param slots requests that one upstream runs at the same time
   * @param demand requests that are to be under way at the same time
   * @param zones the zones of the service
   * @param lost zones that deliver no upstream now; they are asked for their least
   */
  public static Map<String, Integer> desired(
      ServicePolicy.ScalingBounds bounds,
      int slots,
      double demand,
      Set<String> zones,
      Set<String> lost) {
    Objects.requireNonNull(bounds, "bounds is null");
    int wanted = (int) Math.ceil(demand / (Math.max(1, slots) * AIMED_SHARE));
    Map<String, Integer> counts = new TreeMap<>();
    zones.forEach(zone -> counts.put(zone, bounds.minPerZone()));
    int delivering = 0;
    for (String zone : zones) {
      delivering += lost.contains(zone) ? 0 : bounds.minPerZone();
    }
    for (int missing = wanted - delivering; missing > 0; missing--) {
      if (!addOne(counts, bounds, lost)) {
        break;
      }
    }
    return counts;
  }

  private static boolean addOne(
      Map<String, Integer> counts, ServicePolicy.ScalingBounds bounds, Set<String> lost) {
    return counts.entrySet().stream()
        .filter(each -> !lost.contains(each.getKey()) && each.getValue() < bounds.maxPerZone())
        .min(Comparator.comparingInt(Map.Entry::getValue))
        .map(least -> counts.merge(least.getKey(), 1, Integer::sum))
        .isPresent();
  }
}
