package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/** Engines whose properties differ by two and more, played step by step. */
final class EngineModelEstimatorTest {
  private static final double STEP_MILLIS = 6;
  private static final Percentage CLOSE = Percentage.withPercentage(12);
  private static final long SEED = 7;

  /** An engine that reads a chunk of a prompt in each step, as long as it has prompts to read. */
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

  private static EngineModel learned(Engine engine) {
    EngineModelEstimator learner = EngineModelEstimator.empty();
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
      learner.recordPause(pauseMillis, true);
    }
    for (int i = 0; i < 100; i++) {
      int tokens = 2_000 + random.nextInt(4_000);
      double attentionMillis = EnginePlacement.attentionMillis(tokens, 0);
      learner.recordPrefill(tokens, 0, 10 + engine.readMillis(tokens) + attentionMillis);
    }
    return learner.model().orElseThrow();
  }

  private static void isLearned(Engine engine) {
    EngineModel model = learned(engine);
    assertThat(model.prefillTokensPerMilli()).isCloseTo(engine.tokensPerMilli(), CLOSE);
    assertThat(model.idlePauseMillis()).isCloseTo(engine.idlePauseMillis(), CLOSE);
    assertThat(model.readingPauseMillis()).isCloseTo(engine.readingPauseMillis(), CLOSE);
  }

  @Test
  void theTokensOfAnEventAreLearned() {
    isLearned(new Engine(2, 2_048, 42));
    isLearned(new Engine(4, 2_048, 42));
    isLearned(new Engine(8, 2_048, 42));
  }

  @Test
  void theLengthOfAChunkIsLearned() {
    isLearned(new Engine(3, 1_024, 42));
    isLearned(new Engine(3, 4_096, 42));
  }

  @Test
  void theSpeedOfReadingIsLearned() {
    isLearned(new Engine(3, 2_048, 21));
    isLearned(new Engine(3, 2_048, 84));
  }

  @Test
  void enginesWithOtherPropertiesAreLearnedAnew() {
    EngineModelEstimator learner = EngineModelEstimator.empty();
    for (int i = 0; i < 2_000; i++) {
      learner.recordPause(i % 2 == 0 ? 20 : 180, true);
    }
    assertThat(learner.model().orElseThrow().readingPauseMillis()).isCloseTo(180, CLOSE);
    for (int i = 0; i < 8_000; i++) {
      learner.recordPause(i % 2 == 0 ? 20 : 90, true);
    }
    assertThat(learner.model().orElseThrow().readingPauseMillis()).isCloseTo(90, CLOSE);
  }

  @Test
  void pausesOnEnginesThatAreSetApartDoNotMakeTheOthersLookIdle() {
    EngineModelEstimator learner = EngineModelEstimator.empty();
    for (int i = 0; i < 400; i++) {
      learner.recordPause(i % 4 == 0 ? 180 : 20, true);
    }
    for (int i = 0; i < 20_000; i++) {
      learner.recordPause(i % 4 == 0 ? 70 : 20, false);
    }
    assertThat(learner.model().orElseThrow().readingPauseMillis()).isCloseTo(180, CLOSE);
  }

  @Test
  void stallsAndBurstsAreNoPausesOfAnEngine() {
    EngineModelEstimator learner = EngineModelEstimator.empty();
    for (int i = 0; i < 400; i++) {
      learner.recordPause(i % 2 == 0 ? 20 : 100, true);
      learner.recordPause(0, true);
      learner.recordPause(4_000, true);
    }
    EngineModel model = learner.model().orElseThrow();
    assertThat(model.idlePauseMillis()).isCloseTo(20, within(2.0));
    assertThat(model.readingPauseMillis()).isCloseTo(100, CLOSE);
  }

  @Test
  void nothingIsToldBeforeEnoughWasSeen() {
    EngineModelEstimator learner = EngineModelEstimator.empty();
    learner.recordPause(100, true);
    learner.recordPrefill(4_000, 0, 110);
    assertThat(learner.model()).isEmpty();
  }
}
