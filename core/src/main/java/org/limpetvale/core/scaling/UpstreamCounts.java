package org.limpetvale.core.scaling;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.limpetvale.core.fleet.ServicePolicy;

/**
 * Computes how many upstreams of a service each availability zone should run.
 *
 * <p>Demand may move between zones, and a zone may fail. Because any entry can send to any zone,
 * the total is computed for the whole service and spread evenly, and the other zones compensate for
 * a zone that provides no upstreams.
 */
public final class UpstreamCounts {
  /** Target share of slots in use; the rest is headroom for bursts. */
  private static final double TARGET_UTILIZATION = 0.5;

  private UpstreamCounts() {}

  /**
   * Returns the desired number of upstreams for each zone.
   *
   * @param bounds minimum and maximum number of upstreams per zone
   * @param slots maximum number of concurrent requests per upstream
   * @param demand expected number of concurrent requests
   * @param limitedUpstreams number of running upstreams that accept so few requests that they do
   *     not count as capacity
   * @param zones zones of the service
   * @param failedZones zones that currently provide no upstreams; their desired number is the
   *     minimum
   */
  public static Map<String, Integer> desired(
      ServicePolicy.ScalingBounds bounds,
      int slots,
      double demand,
      int limitedUpstreams,
      Set<String> zones,
      Set<String> failedZones) {
    Objects.requireNonNull(bounds, "bounds is null");
    int needed =
        limitedUpstreams + (int) Math.ceil(demand / (Math.max(1, slots) * TARGET_UTILIZATION));
    Map<String, Integer> counts = new TreeMap<>();
    zones.forEach(zone -> counts.put(zone, bounds.minPerZone()));
    int provided = 0;
    for (String zone : zones) {
      provided += failedZones.contains(zone) ? 0 : bounds.minPerZone();
    }
    for (int missing = needed - provided; missing > 0; missing--) {
      if (!addOne(counts, bounds, failedZones)) {
        break;
      }
    }
    return counts;
  }

  private static boolean addOne(
      Map<String, Integer> counts, ServicePolicy.ScalingBounds bounds, Set<String> failedZones) {
    return counts.entrySet().stream()
        .filter(
            each -> !failedZones.contains(each.getKey()) && each.getValue() < bounds.maxPerZone())
        .min(Comparator.comparingInt(Map.Entry::getValue))
        .map(least -> counts.merge(least.getKey(), 1, Integer::sum))
        .isPresent();
  }
}
