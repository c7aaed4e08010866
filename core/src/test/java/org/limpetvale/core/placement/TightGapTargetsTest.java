package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class TightGapTargetsTest {
  private static EngineModel reading(double pauseMillis) {
    return new EngineModel(40, 20, pauseMillis);
  }

  private static boolean isTight(long targetMillis, EngineModel model) {
    return TightGapTargets.empty().isTight(targetMillis, model, 0);
  }

  @Test
  void aGapTargetThatAFewWholeChunksWouldBreakIsShort() {
    assertThat(isTight(150, reading(220))).isTrue();
    assertThat(isTight(200, reading(220))).isTrue();
    assertThat(isTight(300, reading(220))).isFalse();
    assertThat(isTight(0, reading(220))).isFalse();
  }

  /** Events of half the tokens, or chunks of half the length, break half the targets. */
  @Test
  void enginesWithHalfThePausesLeaveTheSameTargetsLongEnough() {
    assertThat(isTight(150, reading(110))).isFalse();
    assertThat(isTight(200, reading(110))).isFalse();
    assertThat(isTight(100, reading(110))).isTrue();
  }

  @Test
  void noTargetIsShortBeforeAnyPauseIsKnown() {
    assertThat(isTight(1, EngineModel.DEFAULT)).isFalse();
  }

  @Test
  void aTargetNearTheLimitDoesNotChangeSidesWithEachEstimate() {
    TightGapTargets gaps = TightGapTargets.empty();
    assertThat(gaps.isTight(200, reading(155), 0)).isFalse();
    assertThat(gaps.isTight(200, reading(165), 1)).isTrue();
    assertThat(gaps.isTight(200, reading(135), 2)).isTrue();
    assertThat(gaps.isTight(200, reading(125), 3)).isFalse();
  }

  /** Quiet engines pause for 180 ms beside long prompts; in the burst that follows for 215 ms. */
  @Test
  void aTargetThatOnlyABurstWouldBreakIsShortBeforeTheBurst() {
    assertThat(isTight(200, reading(180))).isTrue();
  }

  /**
   * Summaries with 250 ms and questions with 150 ms on engines whose pauses reach 260 ms: on the
   * same engines the prompts of the summaries make the questions late.
   */
  @Test
  void onlyTheShortestOfTheTargetsThatBreakIsKeptApart() {
    TightGapTargets gaps = TightGapTargets.empty();
    assertThat(gaps.isTight(150, reading(260), 0)).isTrue();
    assertThat(gaps.isTight(250, reading(260), 1)).isFalse();
    assertThat(gaps.isTight(180, reading(260), 2)).isTrue();
    assertThat(gaps.isTight(250, reading(260), 20_000)).as("alone").isTrue();
  }

  @Test
  void theShortestOfTheTargetsThatAreTooShortIsKnownWhileRequestsHaveIt() {
    TightGapTargets gaps = TightGapTargets.empty();
    gaps.isTight(120, reading(210), 0);
    gaps.isTight(200, reading(210), 9_000);
    gaps.isTight(600, reading(210), 9_000);
    assertThat(gaps.shortestTightMillis(9_000)).isEqualTo(120);
    assertThat(gaps.shortestTightMillis(15_000)).isEqualTo(200);
    assertThat(gaps.shortestTightMillis(30_000)).isZero();
  }
}
