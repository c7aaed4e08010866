package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.EnginePools;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.testing.ManualTimer;

final class EngineProfilesTest {
  private final ManualTimer timer = new ManualTimer();
  private final EngineProfiles profiles =
      EngineProfiles.of(PeerReports.of(timer), timer, EventLog.silent());
  private final List<Upstream> engines =
      IntStream.range(0, 10)
          .mapToObj(i -> new Upstream("u" + i, "s", "10.0.0.1", 80, "z", 64, false, 1))
          .toList();

  private static Route stream(long targetGapMillis) {
    return new Route(
        "r" + targetGapMillis,
        "h",
        "/",
        Route.Kind.STREAMING,
        6_000,
        300,
        targetGapMillis,
        1,
        List.of(new Route.Split("s", 1)),
        1,
        false,
        false);
  }

  private void requestBothTargets() {
    profiles.setGapTargets(service -> Set.of(150L, 600L));
    assertThat(profiles.isTight("s", stream(600))).isFalse();
    assertThat(profiles.isTight("s", stream(150))).isTrue();
  }

  /** Each request filters the engines into a list of its own. */
  @Test
  void thePoolsAreNotComputedAgainForAnEqualListOfEngines() {
    requestBothTargets();
    EnginePools pools = profiles.split("s", engines, 40, engine -> 1);
    assertThat(pools.tightPoolIds()).isNotEmpty();
    assertThat(profiles.split("s", new ArrayList<>(engines), 40, engine -> 1)).isSameAs(pools);
    assertThat(profiles.split("s", engines.subList(0, 8), 40, engine -> 1)).isNotSameAs(pools);
  }

  @Test
  void thePoolsFollowTheSpeedsOfTheEngines() {
    requestBothTargets();
    profiles.split("s", engines, 40, engine -> 1);
    timer.advance(1_000);
    assertThat(profiles.split("s", engines, 40, engine -> isFast(engine) ? 1.6 : 1).tightPoolIds())
        .containsExactlyInAnyOrder("u3", "u7");
  }

  private static boolean isFast(Upstream engine) {
    return engine.id().equals("u3") || engine.id().equals("u7");
  }
}
