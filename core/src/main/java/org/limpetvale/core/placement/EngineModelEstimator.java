package org.limpetvale.core.placement;

import java.util.Optional;

/**
 * Learns how the engines of a service read prompts, from the answers that one entry sees.
 *
 * <p>The load that it answers: engines that differ in speed, in the length of the chunks that they
 * read and in the tokens of an event, from one deployment to the next. No setting tells these; the
 * pauses of the streams and the time to their first events do.
 *
 * <p>Not safe for use by several threads.
 */
public final class EngineModelEstimator {
  /** Pauses above this many idle ones come from prompts that were read between two events. */
  private static final double READING_TIMES_IDLE = 3;

  /** Longer pauses are not those of an engine at work. */
  private static final double LONGEST_PAUSE_MILLIS = 1_000;

  private static final double SHORTEST_PAUSE_MILLIS = 2;

  /** Share of all pauses that are as short as the idle one: many are longer under load. */
  private static final double IDLE_QUANTILE = 0.2;

  /** A stream has tens of pauses, and one that is too long makes it late. */
  private static final double READING_QUANTILE = 0.95;

  /** Samples after which an old one weighs a third. */
  private static final double MEMORY_SAMPLES = 1_000;

  /** Samples before an estimate is used. */
  private static final double FEWEST_SAMPLES = 20;

  /** Tokens of a prompt from which the time to read them outweighs the rest of its time. */
  private static final int LONG_PROMPT_TOKENS = 2_000;

  /** Time to the first event that is not spent on reading the prompt. */
  private static final double OTHER_MILLIS = 10;

  private static final double SHORTEST_READ_MILLIS = 5;

  private final DecayingHistogram pauses = DecayingHistogram.withDecaySamples(MEMORY_SAMPLES);
  private final DecayingHistogram readingPauses =
      DecayingHistogram.withDecaySamples(MEMORY_SAMPLES);
  private final DecayingHistogram tokensPerMilli =
      DecayingHistogram.withDecaySamples(MEMORY_SAMPLES);

  private EngineModelEstimator() {}

  /** Returns a learner that has seen nothing. */
  public static EngineModelEstimator empty() {
    return new EngineModelEstimator();
  }

  /**
   * Notes a pause between two events of a stream.
   *
   * @param millis the pause
   * @param amongLongPrompts whether its engine reads prompts of all lengths
   */
  public void recordPause(double millis, boolean amongLongPrompts) {
    if (millis < SHORTEST_PAUSE_MILLIS || millis > LONGEST_PAUSE_MILLIS) {
      return;
    }
    pauses.add(millis);
    double idle = pauses.quantile(IDLE_QUANTILE);
    if (amongLongPrompts && isKnown(pauses) && millis >= READING_TIMES_IDLE * idle) {
      readingPauses.add(millis);
    }
  }

  /**
   * Notes the first event of a request that found nothing unread at its engine.
   *
   * @param promptTokens tokens of its prompt
   * @param cachedTokens those that the engine was expected to have in its cache
   * @param millis time from its sending to the event
   */
  public void recordPrefill(int promptTokens, int cachedTokens, double millis) {
    int fresh = promptTokens - cachedTokens;
    double attentionMillis = EnginePlacement.attentionMillis(promptTokens, cachedTokens);
    double readMillis = millis - OTHER_MILLIS - attentionMillis;
    if (fresh >= LONG_PROMPT_TOKENS && readMillis >= SHORTEST_READ_MILLIS) {
      tokensPerMilli.add(fresh / readMillis);
    }
  }

  /** Returns what has been learned; empty before the first estimate. */
  public Optional<EngineModel> model() {
    if (!isKnown(pauses) && !isKnown(tokensPerMilli)) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineModel(
            isKnown(tokensPerMilli)
                ? tokensPerMilli.quantile(0.5)
                : EngineModel.DEFAULT.prefillTokensPerMilli(),
            isKnown(pauses) ? pauses.quantile(IDLE_QUANTILE) : 0,
            isKnown(readingPauses) ? readingPauses.quantile(READING_QUANTILE) : 0));
  }

  private static boolean isKnown(DecayingHistogram samples) {
    return samples.weight() >= FEWEST_SAMPLES;
  }
}
