package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/** Simulates, step by step, engines whose properties differ by a factor of two or more. */
final class EngineModelEstimatorTest {
  private static final double STEP_MILLIS = 6;
  private static final Percentage CLOSE = Percentage.withPercentage(12);
  private static final long SEED = 7;

  /** An engine that reads one chunk of a prompt per step while it has prompts to read. */
  private record Engine(int tokensPerEvent, int chunkTokens, double tokensPerMilli) {
    double chunkMillis() {
      return chunkTokens / tokensPerMilli;
    }

    double idlePauseMillis() {
      return tokensPerEvent * STEP_MILLIS;
    }

    double readingPauseMillis() {
      return tokensPerEvent * (STEP_MILLIS + chunkMillis());
    }

    double readMillis(int tokens) {
      return tokens / tokensPerMilli;
    }
  }

  private static EngineModel estimate(Engine engine) {
    EngineModelEstimator estimator = EngineModelEstimator.empty();
    Random random = new Random(SEED);
    int chunksLeft = 0;
    for (int event = 0; event < 4_000; event++) {
      double pauseMillis = 0;
      for (int token = 0; token < engine.tokensPerEvent(); token++) {
        if (chunksLeft == 0 && random.nextInt(12) == 0) {
          chunksLeft = 8;
        }
        pauseMillis += STEP_MILLIS + (chunksLeft > 0 ? engine.chunkMillis() : 0);
        chunksLeft = Math.max(0, chunksLeft - 1);
      }
      estimator.recordPause(pauseMillis, true);
    }
    for (int i = 0; i < 100; i++) {
      int tokens = 2_000 + random.nextInt(4_000);
      double attentionMillis = EnginePlacement.attentionMillis(tokens, 0);
      estimator.recordPrefill(tokens, 0, 10 + engine.readMillis(tokens) + attentionMillis);
    }
    return estimator.model().orElseThrow();
  }

  private static void assertEstimated(Engine engine) {
    EngineModel model = estimate(engine);
    assertThat(model.prefillTokensPerMilli()).isCloseTo(engine.tokensPerMilli(), CLOSE);
    assertThat(model.idlePauseMillis()).isCloseTo(engine.idlePauseMillis(), CLOSE);
    assertThat(model.readingPauseMillis()).isCloseTo(engine.readingPauseMillis(), CLOSE);
  }

  @Test
  void tokensPerEventAreEstimated() {
    assertEstimated(new Engine(2, 2_048, 42));
    assertEstimated(new Engine(4, 2_048, 42));
    assertEstimated(new Engine(8, 2_048, 42));
  }

  @Test
  void chunkLengthIsEstimated() {
    assertEstimated(new Engine(3, 1_024, 42));
    assertEstimated(new Engine(3, 4_096, 42));
  }

  @Test
  void prefillSpeedIsEstimated() {
    assertEstimated(new Engine(3, 2_048, 21));
    assertEstimated(new Engine(3, 2_048, 84));
  }

  @Test
  void estimatesFollowChangedEngineProperties() {
    EngineModelEstimator estimator = EngineModelEstimator.empty();
    for (int i = 0; i < 2_000; i++) {
      estimator.recordPause(i % 2 == 0 ? 20 : 180, true);
    }
    assertThat(estimator.model().orElseThrow().readingPauseMillis()).isCloseTo(180, CLOSE);
    for (int i = 0; i < 8_000; i++) {
      estimator.recordPause(i % 2 == 0 ? 20 : 90, true);
    }
    assertThat(estimator.model().orElseThrow().readingPauseMillis()).isCloseTo(90, CLOSE);
  }

  @Test
  void pausesInTheTightPoolDoNotAffectTheReadingPause() {
    EngineModelEstimator estimator = EngineModelEstimator.empty();
    for (int i = 0; i < 400; i++) {
      estimator.recordPause(i % 4 == 0 ? 180 : 20, true);
    }
    for (int i = 0; i < 20_000; i++) {
      estimator.recordPause(i % 4 == 0 ? 70 : 20, false);
    }
    assertThat(estimator.model().orElseThrow().readingPauseMillis()).isCloseTo(180, CLOSE);
  }

  @Test
  void stallsAndBurstsAreNotCountedAsPauses() {
    EngineModelEstimator estimator = EngineModelEstimator.empty();
    for (int i = 0; i < 400; i++) {
      estimator.recordPause(i % 2 == 0 ? 20 : 100, true);
      estimator.recordPause(0, true);
      estimator.recordPause(4_000, true);
    }
    EngineModel model = estimator.model().orElseThrow();
    assertThat(model.idlePauseMillis()).isCloseTo(20, within(2.0));
    assertThat(model.readingPauseMillis()).isCloseTo(100, CLOSE);
  }

  @Test
  void thereIsNoEstimateBeforeEnoughSamples() {
    EngineModelEstimator estimator = EngineModelEstimator.empty();
    estimator.recordPause(100, true);
    estimator.recordPrefill(4_000, 0, 110);
    assertThat(estimator.model()).isEmpty();
  }
}
