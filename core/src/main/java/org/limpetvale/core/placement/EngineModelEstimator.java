package org.limpetvale.core.placement;

import java.util.Optional;

/**
 * Estimates the prefill speed and stream pauses of a service's engines from the answers that one
 * entry observes.
 *
 * <p>Deployments differ in engine speed, prefill chunk length and tokens per event, and no setting
 * states them. They are derived from the pauses in the streams and the time to the first event.
 *
 * <p>Not thread-safe.
 */
public final class EngineModelEstimator {
  /**
   * Pauses of at least this multiple of the idle pause are attributed to prompts read between two
   * events.
   */
  private static final double READING_PAUSE_FACTOR = 3;

  /** Longer pauses are stalls and not caused by regular engine work. */
  private static final double MAX_PAUSE_MILLIS = 1_000;

  private static final double MIN_PAUSE_MILLIS = 2;

  /** Quantile of all pauses that is taken as the idle pause; under load, many pauses are longer. */
  private static final double IDLE_QUANTILE = 0.2;

  /**
   * A high quantile, because a stream has tens of pauses and a single long one makes it miss its
   * target.
   */
  private static final double READING_QUANTILE = 0.95;

  /** Number of samples after which the weight of an old one has fallen to about a third. */
  private static final double DECAY_SAMPLES = 1_000;

  /** Effective number of samples before an estimate is used. */
  private static final double MIN_SAMPLES = 20;

  /** Number of uncached prompt tokens from which prefill dominates the time to the first event. */
  private static final int MIN_UNCACHED_TOKENS = 2_000;

  /** Part of the time to the first event that is not spent on prefill. */
  private static final double OVERHEAD_MILLIS = 10;

  private static final double MIN_PREFILL_MILLIS = 5;

  private final DecayingHistogram pauses = DecayingHistogram.withDecaySamples(DECAY_SAMPLES);
  private final DecayingHistogram readingPauses = DecayingHistogram.withDecaySamples(DECAY_SAMPLES);
  private final DecayingHistogram tokensPerMilli =
      DecayingHistogram.withDecaySamples(DECAY_SAMPLES);

  private EngineModelEstimator() {}

  /** Returns an estimator without samples. */
  public static EngineModelEstimator empty() {
    return new EngineModelEstimator();
  }

  /**
   * Records a pause between two events of a stream.
   *
   * @param millis length of the pause
   * @param servesLongPrompts whether the engine serves prompts of all lengths
   */
  public void recordPause(double millis, boolean servesLongPrompts) {
    if (millis < MIN_PAUSE_MILLIS || millis > MAX_PAUSE_MILLIS) {
      return;
    }
    pauses.add(millis);
    double idleMillis = pauses.quantile(IDLE_QUANTILE);
    if (servesLongPrompts
        && hasEnoughSamples(pauses)
        && millis >= READING_PAUSE_FACTOR * idleMillis) {
      readingPauses.add(millis);
    }
  }

  /**
   * Records the time to the first event of a request whose engine had no prompt tokens pending.
   *
   * @param promptTokens number of tokens in the prompt
   * @param cachedTokens number of prompt tokens that were expected in the engine's cache
   * @param millis time from sending the request to the event
   */
  public void recordPrefill(int promptTokens, int cachedTokens, double millis) {
    int uncachedTokens = promptTokens - cachedTokens;
    double attentionMillis = EnginePlacement.attentionMillis(promptTokens, cachedTokens);
    double prefillMillis = millis - OVERHEAD_MILLIS - attentionMillis;
    if (uncachedTokens >= MIN_UNCACHED_TOKENS && prefillMillis >= MIN_PREFILL_MILLIS) {
      tokensPerMilli.add(uncachedTokens / prefillMillis);
    }
  }

  /** Returns the current estimate, or empty before there are enough samples. */
  public Optional<EngineModel> model() {
    if (!hasEnoughSamples(pauses) && !hasEnoughSamples(tokensPerMilli)) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineModel(
            hasEnoughSamples(tokensPerMilli)
                ? tokensPerMilli.quantile(0.5)
                : EngineModel.DEFAULT.prefillTokensPerMilli(),
            hasEnoughSamples(pauses) ? pauses.quantile(IDLE_QUANTILE) : 0,
            hasEnoughSamples(readingPauses) ? readingPauses.quantile(READING_QUANTILE) : 0));
  }

  private static boolean hasEnoughSamples(DecayingHistogram samples) {
    return samples.effectiveSamples() >= MIN_SAMPLES;
  }
}
