package org.limpetvale.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.ServicePolicy;

final class UpstreamCountsTest {
  private static final ServicePolicy.ScalingBounds BOUNDS = new ServicePolicy.ScalingBounds(1, 4);
  private static final Set<String> ZONES = Set.of("a", "b", "c");

  private static Map<String, Integer> desired(double demand, Set<String> failedZones) {
    return UpstreamCounts.desired(BOUNDS, 10, demand, 0, ZONES, failedZones);
  }

  @Test
  void withoutDemandEachZoneKeepsItsMinimum() {
    assertThat(desired(0, Set.of())).isEqualTo(Map.of("a", 1, "b", 1, "c", 1));
  }

  @Test
  void demandIsSpreadEvenlyWithHeadroomForABurst() {
    assertThat(desired(30, Set.of())).isEqualTo(Map.of("a", 2, "b", 2, "c", 2));
    assertThat(desired(31, Set.of()).values().stream().mapToInt(each -> each).sum()).isEqualTo(7);
  }

  @Test
  void upstreamsThatAcceptFewRequestsAreReplacedWhileDemandNeedsThem() {
    assertThat(UpstreamCounts.desired(BOUNDS, 10, 30, 2, ZONES, Set.of()).values())
        .satisfies(each -> assertThat(each.stream().mapToInt(i -> i).sum()).isEqualTo(8));
    assertThat(UpstreamCounts.desired(BOUNDS, 10, 5, 2, ZONES, Set.of()))
        .isEqualTo(Map.of("a", 1, "b", 1, "c", 1));
  }

  @Test
  void noZoneExceedsItsMaximum() {
    assertThat(desired(10_000, Set.of())).isEqualTo(Map.of("a", 4, "b", 4, "c", 4));
  }

  @Test
  void otherZonesCompensateForAFailedZoneThatKeepsItsMinimum() {
    assertThat(desired(30, Set.of("c"))).isEqualTo(Map.of("a", 3, "b", 3, "c", 1));
  }
}
