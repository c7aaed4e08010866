package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.LimitNotice;

final class UpstreamStatesTest {
  private final UpstreamStates states = UpstreamStates.empty();
  private final Upstream upstream = new Upstream("i-1", "desk", "10.0.0.1", 80, "z", 8, false, 1);

  /**
   * Guards against a limit that is forgotten because the upstream's row lapses, as in an outage of
   * the store, or cannot be read for a moment.
   */
  @Test
  void anUpstreamWhoseRowIsMissingForAMomentKeepsItsLimit() {
    states.state(upstream).setLimit(LimitNotice.of(2, 1_000));
    states.retainAll(FleetView.empty(), 2_000);
    states.retainAll(FleetView.of(List.of(upstream)), 12_000);
    assertThat(states.state(upstream).limit().isInForce()).isTrue();
  }

  @Test
  void anUpstreamThatIsMissingForLongIsForgotten() {
    states.state(upstream).setLimit(LimitNotice.of(2, 1_000));
    states.retainAll(FleetView.empty(), 2_000);
    states.retainAll(FleetView.empty(), 70_000);
    assertThat(states.state(upstream).limit().isInForce()).isFalse();
  }

  @Test
  void anotherProcessUnderTheSameIdStartsAnew() {
    states.state(upstream).setLimit(LimitNotice.of(2, 1_000));
    Upstream restarted = new Upstream("i-1", "desk", "10.0.0.1", 80, "z", 8, false, 2);
    assertThat(states.state(restarted).limit().isInForce()).isFalse();
  }
}
