package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Upstream;

final class ServicePlacementTest {
  private static UpstreamLoad load(String id, String zone, int own, int others, double failures) {
    Upstream upstream = new Upstream(id, "s", "10.0.0.1", 80, zone, 6, false, 1);
    return new UpstreamLoad(upstream, own, others, 0, 0, 0, 0, 0, 1, failures, false);
  }

  private static String chosen(UpstreamLoad... loads) {
    return ServicePlacement.choose("z", List.of(loads), () -> 0).orElseThrow().upstream().id();
  }

  @Test
  void theOwnZoneIsPreferredWhileItHasFreeSlots() {
    assertThat(chosen(load("far", "y", 0, 0, 0), load("near", "z", 0, 0, 0))).isEqualTo("near");
    assertThat(chosen(load("far", "y", 0, 0, 0), load("near", "z", 3, 3, 0))).isEqualTo("far");
  }

  @Test
  void requestsOfOtherEntriesCount() {
    assertThat(chosen(load("a", "z", 0, 5, 0), load("b", "z", 1, 0, 0))).isEqualTo("b");
  }

  @Test
  void anUpstreamThatFailsRequestsIsAvoided() {
    assertThat(chosen(load("failing", "z", 0, 0, 0.5), load("healthy", "y", 4, 0, 0)))
        .isEqualTo("healthy");
  }

  /** Guards against all entries choosing the same of several idle upstreams. */
  @Test
  void equalUpstreamsAreChosenAtRandom() {
    List<UpstreamLoad> equal =
        List.of(load("a", "z", 0, 0, 0), load("b", "z", 0, 0, 0), load("c", "z", 0, 0, 0));
    Random random = new Random(1);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id =
          ServicePlacement.choose("z", equal, random::nextDouble).orElseThrow().upstream().id();
      counts.merge(id, 1, Integer::sum);
    }
    assertThat(counts).hasSize(3).values().allSatisfy(each -> assertThat(each).isBetween(75, 125));
  }
}
