package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.AllowedRegions;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.fleet.Workspace;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.testing.ManualTimer;

final class PlacerTest {
  private static final Route ROUTE =
      new Route(
          "look",
          "h.example",
          "/look/",
          Route.Kind.IDEMPOTENT,
          4_000,
          500,
          250,
          1,
          List.of(new Route.Split("desk", 1)),
          2,
          true,
          false);
  private static final RequestPlan PLAN =
      new RequestPlan(1, ROUTE, "desk", Optional.empty(), Optional.empty());

  private final ManualTimer timer = new ManualTimer();
  private final UpstreamStates states = UpstreamStates.empty();
  private final PeerReports peers = PeerReports.of(timer);
  private final Upstream first = upstream("i-1");
  private final Upstream second = upstream("i-2");
  private final Placer placer =
      Placer.of(
          "z",
          () -> FleetView.of(List.of(first, second)),
          peers,
          states,
          UpstreamNotices.of(
              states,
              UpstreamLimits.of(
                  states, "a.1", () -> List.of("a.1"), timer::wallMillis, timer, EventLog.silent()),
              () -> 0,
              timer,
              EventLog.silent()),
          EngineProfiles.of(peers, timer, EventLog.silent()),
          timer);

  private static Upstream upstream(String id) {
    return new Upstream(id, "desk", "10.0.0.1", 80, "z", 8, false, 1);
  }

  private Placement place(boolean mayUseLimited) {
    return placer.place(PLAN, PromptShape.NONE, 0, Set.of(), () -> mayUseLimited);
  }

  private String chosenId(boolean mayUseLimited) {
    return ((Placement.Chosen) place(mayUseLimited)).choice().upstream().id();
  }

  /**
   * Guards against a request that is refused because a limited upstream looks best and others wait
   * for it, while an upstream without a limit is free.
   */
  @Test
  void aRequestThatMustLeaveLimitedUpstreamsToOthersUsesTheOnesWithoutALimit() {
    states.state(first).setLimit(LimitNotice.of(2, timer.wallMillis()));
    states.state(second).requestSent(new BusyRequest(), 0, false);
    assertThat(chosenId(true)).isEqualTo("i-1");
    assertThat(chosenId(false)).isEqualTo("i-2");
  }

  @Test
  void withLimitedUpstreamsOnlyTheRequestIsDeferred() {
    states.state(first).setLimit(LimitNotice.of(2, timer.wallMillis()));
    states.state(second).setLimit(LimitNotice.of(2, timer.wallMillis()));
    assertThat(place(false)).isEqualTo(new Placement.Deferred(List.of(first, second)));
  }

  @Test
  void anUpstreamThatIsLeavingIsNeverChosen() {
    states.state(first).setLeaving();
    assertThat(chosenId(true)).isEqualTo("i-2");
    states.state(second).setLeaving();
    assertThat(place(true)).isEqualTo(new Placement.Unavailable());
  }

  @Test
  void anUpstreamThatRefusesIsAvoidedUnlessAllRefuse() {
    states.state(first).refused(timer.nowMillis());
    assertThat(chosenId(true)).isEqualTo("i-2");
    states.state(second).refused(timer.nowMillis());
    assertThat(place(true)).isInstanceOf(Placement.Chosen.class);
  }

  private Placement placeFor(String region) {
    Workspace workspace =
        new Workspace("w", OptionalInt.empty(), AllowedRegions.of(Set.of(region)));
    RequestPlan plan = new RequestPlan(1, ROUTE, "desk", Optional.empty(), Optional.of(workspace));
    return placer.place(plan, PromptShape.NONE, 0, Set.of(), () -> true);
  }

  @Test
  void aRequestThatIsBoundToARegionIsPlacedInNoOther() {
    assertThat(placeFor("north")).isEqualTo(new Placement.Unavailable());
    placer.setRegionsByZone(Map.of("z", "north"));
    assertThat(placeFor("north")).isInstanceOf(Placement.Chosen.class);
    assertThat(placeFor("south")).isEqualTo(new Placement.Unavailable());
  }

  /** A request that makes its upstream the more loaded one. */
  private static final class BusyRequest implements UpstreamState.SentRequest {
    @Override
    public long lastActivityMillis() {
      return Long.MAX_VALUE;
    }

    @Override
    public long silenceTimeoutMillis() {
      return 1_000;
    }
  }
}
