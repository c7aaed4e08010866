package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.placement.UpstreamLoad;

final class BacklogLimitTest {
  private static final Route NORMAL = route(1_500);
  private static final Route URGENT = route(500);

  private static final EngineModel MODEL = new EngineModel(40, 20, 220);

  private static Route route(long targetMillis) {
    return new Route(
        "r",
        "h",
        "/",
        Route.Kind.STREAMING,
        6_000,
        targetMillis,
        600,
        1,
        List.of(new Route.Split("s", 1)),
        1,
        false,
        false);
  }

  private static Choice choice(int pending, int ownPending, int cached) {
    Upstream upstream = new Upstream("u", "s", "10.0.0.1", 80, "z", 64, false, 1);
    UpstreamLoad load =
        new UpstreamLoad(upstream, 0, 0, pending, ownPending, 0, cached, 0, 1, 0, false);
    return Choice.of(upstream, 1, 1, load);
  }

  @Test
  void anIdleEngineAcceptsAPromptOfAnySize() {
    assertThat(BacklogLimit.admits(NORMAL, 40_000, choice(0, 0, 0), MODEL)).isTrue();
  }

  @Test
  void aPromptWaitsWhileTheEngineBacklogIsFull() {
    assertThat(BacklogLimit.admits(NORMAL, 5_000, choice(6_000, 0, 0), MODEL)).isTrue();
    assertThat(BacklogLimit.admits(NORMAL, 5_000, choice(8_000, 0, 0), MODEL)).isFalse();
    assertThat(BacklogLimit.admits(NORMAL, 5_000, choice(8_000, 0, 2_000), MODEL)).isTrue();
  }

  @Test
  void urgentPromptsMayUseALargerBacklog() {
    assertThat(BacklogLimit.admits(URGENT, 5_000, choice(12_000, 0, 0), MODEL)).isTrue();
    assertThat(BacklogLimit.admits(URGENT, 5_000, choice(14_000, 0, 0), MODEL)).isFalse();
  }

  @Test
  void oneEntryUsesAtMostHalfOfTheBacklog() {
    assertThat(BacklogLimit.admits(NORMAL, 3_000, choice(3_000, 3_000, 0), MODEL)).isTrue();
    assertThat(BacklogLimit.admits(NORMAL, 3_500, choice(3_000, 3_000, 0), MODEL)).isFalse();
  }

  @Test
  void enginesWithTwiceThePrefillRateAcceptTwiceTheBacklog() {
    EngineModel fast = new EngineModel(80, 20, 110);
    assertThat(BacklogLimit.admits(NORMAL, 5_000, choice(18_000, 0, 0), fast)).isTrue();
    assertThat(BacklogLimit.admits(NORMAL, 5_000, choice(20_000, 0, 0), fast)).isFalse();
  }
}
