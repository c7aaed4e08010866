package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.forward.peer.PeerReport;

final class UpstreamStateTest {
  private final UpstreamState state =
      UpstreamStates.empty().state(new Upstream("u", "s", "10.0.0.1", 80, "z", 8, false, 1));

  private double failureShare(Optional<PeerReport.Load> others, long nowMillis) {
    return state.load(0, 0, others, nowMillis).failureRate();
  }

  private double failureShare(long nowMillis) {
    return failureShare(Optional.empty(), nowMillis);
  }

  @Test
  void theFailureShareOfAFailingUpstreamRisesAndDecaysOverTime() {
    for (int i = 0; i < 10; i++) {
      state.recordOutcome(true, 1_000);
    }
    assertThat(failureShare(1_000)).isGreaterThan(0.75);
    assertThat(failureShare(21_000)).isLessThan(0.06);
  }

  @Test
  void aFailedConnectionCountsAsAFailureAndPausesAttempts() {
    state.connectFailed(1_000);
    assertThat(failureShare(1_000)).isPositive();
    assertThat(state.isPaused(1_400)).isTrue();
  }

  @Test
  void failuresReportedByOtherEntriesCountBeforeThisEntrySeesAny() {
    PeerReport.Load others = new PeerReport.Load(0, 0, 0, 60, 0);
    assertThat(failureShare(Optional.of(others), 1_000)).isEqualTo(0.6);
  }

  private void answerStates(double slowdown, long nowMillis) {
    state.slowdownStated(slowdown, nowMillis);
  }

  private double speed(Optional<PeerReport.Load> others, long nowMillis) {
    return state.load(0, 0, others, nowMillis).relativeSpeed();
  }

  @Test
  void theSpeedThatAnUpstreamStatesIsUsedAndReported() {
    PeerReport.Load others = new PeerReport.Load(0, 0, 0, 0, 0, 160);
    assertThat(speed(Optional.empty(), 0)).isEqualTo(1);
    assertThat(speed(Optional.of(others), 0)).as("as the others heard it").isEqualTo(1.6);
    answerStates(1.6, 1_000);
    assertThat(speed(Optional.empty(), 1_000)).isCloseTo(0.625, within(0.05));
    assertThat(speed(Optional.of(others), 1_000)).as("the others heard more").isEqualTo(1.6);
    answerStates(1.6, 1_000);
    answerStates(1.6, 1_000);
    assertThat(speed(Optional.of(others), 1_000)).isCloseTo(0.625, within(0.05));
    assertThat(state.ownLoad(2_000).statedSpeedPercent()).isBetween(57, 67);
    assertThat(state.ownLoad(60_000).statedSpeedPercent()).as("long after").isZero();
    assertThat(speed(Optional.empty(), 60_000)).as("long after").isCloseTo(0.625, within(0.05));
  }

  @Test
  void anUpstreamThatTurnsSlowIsNotTakenForItsStatedSpeed() {
    answerStates(0.6, 1_000);
    PeerReport.Load others = new PeerReport.Load(0, 0, 0, 0, 30);
    assertThat(speed(Optional.of(others), 1_000)).isEqualTo(0.3);
  }

  /**
   * Guards against overloading an upstream: many requests can be placed while the connections of
   * the first ones are still being established.
   */
  @Test
  void aRequestCountsFromItsPlacementInsteadOfItsSending() {
    state.reserve(3_000);
    UpstreamLoad placed = state.load(0, 0, Optional.empty(), 1_000);
    assertThat(placed.ownRequests()).isEqualTo(1);
    assertThat(placed.ownPendingPromptTokens()).isEqualTo(3_000);
    state.release(3_000);
    UpstreamLoad released = state.load(0, 0, Optional.empty(), 1_000);
    assertThat(released.ownRequests()).isZero();
    assertThat(released.ownPendingPromptTokens()).isZero();
  }

  private static UpstreamState state(UpstreamStates book, String id) {
    return book.state(new Upstream(id, "s", "10.0.0.1", 80, "z", 8, false, 1));
  }

  private static double speed(UpstreamState state, Optional<PeerReport.Load> others, long millis) {
    return state.load(0, 0, others, millis).relativeSpeed();
  }

  /**
   * One of six upstreams becomes eight times slower but keeps responding and passing health checks.
   */
  @Test
  void anUpstreamThatIsSeveralTimesSlowerThanItsPeersIsDetected() {
    UpstreamStates book = UpstreamStates.empty();
    for (int i = 0; i < 30; i++) {
      state(book, "u" + i % 5).answerStarted(60, 40, 1_000 + i);
    }
    for (int i = 0; i < 3; i++) {
      state(book, "slow").answerStarted(480, 40, 1_100 + i);
    }
    assertThat(speed(state(book, "slow"), Optional.empty(), 1_200)).isBetween(0.1, 0.16);
    assertThat(speed(state(book, "u0"), Optional.empty(), 1_200)).isEqualTo(1);
    assertThat(book.ownLoads(1_200).get("slow").speedPercent()).isBetween(10, 16);
    assertThat(speed(state(book, "slow"), Optional.empty(), 6_000)).as("tried again").isEqualTo(1);
  }

  @Test
  void aPredictedQueueDoesNotMakeAnUpstreamSlow() {
    UpstreamStates book = UpstreamStates.empty();
    for (int i = 0; i < 30; i++) {
      state(book, "u" + i % 5).answerStarted(60, 50, 1_000 + i);
    }
    for (int i = 0; i < 3; i++) {
      state(book, "queue").answerStarted(600, 500, 1_100 + i);
    }
    assertThat(speed(state(book, "queue"), Optional.empty(), 1_200)).isEqualTo(1);
  }

  @Test
  void aSlowUpstreamIsKnownFromOtherEntriesBeforeThisEntryUsesIt() {
    PeerReport.Load others = new PeerReport.Load(0, 0, 0, 0, 25);
    assertThat(speed(state, Optional.of(others), 1_000)).isEqualTo(0.25);
  }

  @Test
  void failuresAreReportedToOtherEntriesWithoutRequestsInProgress() {
    UpstreamStates book = UpstreamStates.empty();
    UpstreamState own = book.state(state.upstream());
    assertThat(book.ownLoads(1_000)).isEmpty();
    own.recordOutcome(true, 1_000);
    assertThat(book.ownLoads(1_000).get("u").failurePercent()).isEqualTo(15);
    assertThat(book.ownLoads(60_000)).isEmpty();
  }

  @Test
  void anUpstreamThatGoesOnRefusingIsAvoidedForLongerAndLonger() {
    state.refused(0);
    state.refused(10);
    assertThat(state.isAvoided(249)).isTrue();
    assertThat(state.isAvoided(250)).isFalse();
    state.refused(300);
    assertThat(state.isAvoided(799)).isTrue();
    assertThat(state.isAvoided(800)).isFalse();
    state.notRefused();
    state.refused(1_000);
    assertThat(state.isAvoided(1_250)).isFalse();
  }

  /** Guards against an upstream that is avoided once it is warm because its start was slow. */
  @Test
  void anUpstreamThatIsSlowWhileItIsColdDoesNotCountAsSlow() {
    UpstreamStates book = UpstreamStates.empty();
    for (int i = 0; i < 30; i++) {
      state(book, "u" + i % 5).answerStarted(60, 40, 1_000 + i);
    }
    UpstreamState started = state(book, "started");
    started.extendCold(3_000, 1_000);
    for (int i = 0; i < 3; i++) {
      started.answerStarted(480, 40, 1_100 + i);
    }
    assertThat(speed(started, Optional.empty(), 3_100)).isEqualTo(1);
    for (int i = 0; i < 3; i++) {
      started.answerStarted(480, 40, 3_200 + i);
    }
    assertThat(speed(started, Optional.empty(), 3_300)).isLessThan(0.5);
  }
}
