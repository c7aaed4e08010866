package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class TightGapTargetsTest {
  private static EngineModel reading(double pauseMillis) {
    return new EngineModel(40, 20, pauseMillis);
  }

  private static boolean isTight(long targetMillis, EngineModel model) {
    return TightGapTargets.empty().isTight(targetMillis, model, 0);
  }

  @Test
  void aGapTargetShorterThanTheReadingPausesIsTight() {
    assertThat(isTight(150, reading(220))).isTrue();
    assertThat(isTight(200, reading(220))).isTrue();
    assertThat(isTight(300, reading(220))).isFalse();
    assertThat(isTight(0, reading(220))).isFalse();
  }

  /**
   * Half the tokens per event or half the chunk length halves the pauses, so targets half as long
   * are met.
   */
  @Test
  void enginesWithHalfThePausesMeetTheSameTargets() {
    assertThat(isTight(150, reading(110))).isFalse();
    assertThat(isTight(200, reading(110))).isFalse();
    assertThat(isTight(100, reading(110))).isTrue();
  }

  @Test
  void noTargetIsTightBeforeAnyPauseIsKnown() {
    assertThat(isTight(1, EngineModel.DEFAULT)).isFalse();
  }

  /** A burst of long prompts in the first seconds, before any stream has shown a pause. */
  @Test
  void beforeAnyPauseIsKnownTheShortestOfVeryDifferentTargetsIsTight() {
    TightGapTargets targets = TightGapTargets.empty();
    targets.setConfigured(Set.of(1_200L, 300L, 500L));
    assertThat(targets.isTight(500, EngineModel.DEFAULT, 0)).isFalse();
    assertThat(targets.isTight(300, EngineModel.DEFAULT, 0)).isTrue();
    assertThat(targets.isTight(1_200, EngineModel.DEFAULT, 0)).isFalse();
    assertThat(targets.isTight(300, reading(180), 1)).as("once pauses are known").isFalse();
  }

  @Test
  void beforeAnyPauseIsKnownTargetsThatDifferLittleAreNotTight() {
    TightGapTargets targets = TightGapTargets.empty();
    targets.setConfigured(Set.of(300L, 500L));
    assertThat(targets.isTight(300, EngineModel.DEFAULT, 0)).isFalse();
  }

  @Test
  void aTargetNearTheLimitDoesNotChangeWithEachEstimate() {
    TightGapTargets targets = TightGapTargets.empty();
    assertThat(targets.isTight(200, reading(155), 0)).isFalse();
    assertThat(targets.isTight(200, reading(165), 1)).isTrue();
    assertThat(targets.isTight(200, reading(135), 2)).isTrue();
    assertThat(targets.isTight(200, reading(125), 3)).isFalse();
  }

  /**
   * Engines with few streams pause for 180 ms while they read long prompts, and for 215 ms in the
   * burst that follows.
   */
  @Test
  void aTargetThatOnlyABurstWouldMissIsTightBeforeTheBurst() {
    assertThat(isTight(200, reading(180))).isTrue();
  }

  /**
   * Summaries have a target of 250 ms, questions one of 150 ms, and the pauses of the engines reach
   * 260 ms. On the same engines, the prompts of the summaries make the questions miss their target.
   */
  @Test
  void onlyTheShortestOfTheMissedTargetsAreTight() {
    TightGapTargets targets = TightGapTargets.empty();
    assertThat(targets.isTight(150, reading(260), 0)).isTrue();
    assertThat(targets.isTight(250, reading(260), 1)).isFalse();
    assertThat(targets.isTight(180, reading(260), 2)).isTrue();
    assertThat(targets.isTight(250, reading(260), 20_000)).as("without a shorter target").isTrue();
  }

  @Test
  void theShortestTightTargetIsKeptWhileRequestsUseIt() {
    TightGapTargets targets = TightGapTargets.empty();
    targets.isTight(120, reading(210), 0);
    targets.isTight(200, reading(210), 9_000);
    targets.isTight(600, reading(210), 9_000);
    assertThat(targets.shortestTightMillis(9_000)).isEqualTo(120);
    assertThat(targets.shortestTightMillis(15_000)).isEqualTo(200);
    assertThat(targets.shortestTightMillis(30_000)).isZero();
  }
}
