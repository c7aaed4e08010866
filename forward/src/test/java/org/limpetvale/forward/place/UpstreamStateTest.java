package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.forward.peer.PeerReport;

final class UpstreamStateTest {
  private final UpstreamState state =
      new UpstreamState(new Upstream("u", "s", "10.0.0.1", 80, "z", 8, false, 1));

  private double failureShare(Optional<PeerReport.Load> others, long nowMillis) {
    return state.load(0, 0, others, nowMillis).failureShare();
  }

  private double failureShare(long nowMillis) {
    return failureShare(Optional.empty(), nowMillis);
  }

  @Test
  void anUpstreamThatFailsIsTrustedLessAndAfterAWhileTriedAgain() {
    for (int i = 0; i < 10; i++) {
      state.outcome(true, 1_000);
    }
    assertThat(failureShare(1_000)).isGreaterThan(0.75);
    assertThat(failureShare(21_000)).isLessThan(0.06);
  }

  @Test
  void aConnectionThatFailsCountsAsAFailure() {
    state.connectFailed(1_000);
    assertThat(failureShare(1_000)).isPositive();
    assertThat(state.paused(1_400)).isTrue();
  }

  @Test
  void failuresAtOtherEntriesCountBeforeThisEntryHasMetThem() {
    PeerReport.Load others = new PeerReport.Load(0, 0, 0, 60);
    assertThat(failureShare(Optional.of(others), 1_000)).isEqualTo(0.6);
  }

  @Test
  void otherEntriesAreToldOfFailuresAlsoWhenNothingIsUnderWay() {
    LoadBook book = LoadBook.empty();
    UpstreamState own = book.state(state.upstream());
    assertThat(book.own(1_000)).isEmpty();
    own.outcome(true, 1_000);
    assertThat(book.own(1_000).get("u").failurePercent()).isEqualTo(15);
    assertThat(book.own(60_000)).isEmpty();
  }
}
