package org.limpetvale.entry.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Estimates answer lengths per workspace and request class from completed answers. */
public final class AnswerLengthEstimator {
  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double DEVIATION_MULTIPLIER = 1;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int DEFAULT_ANSWER_TOKENS = 128;

  private final Map<Key, Estimate> estimates = new ConcurrentHashMap<>();

  private record Key(String workspace, String requestClass) {}

  private record Estimate(double mean, double deviation) {
    Estimate withSample(double tokens) {
      double error = tokens - mean;
      return new Estimate(
          mean + SMOOTHING_FACTOR * error,
          deviation + SMOOTHING_FACTOR * (Math.abs(error) - deviation));
    }
  }

  /** Returns the estimated total number of prompt and answer tokens. */
  public long estimateTokens(
      String workspace, String requestClass, int promptBytes, int maxTokens) {
    Estimate found = estimates.get(new Key(workspace, requestClass));
    double answer =
        found == null
            ? DEFAULT_ANSWER_TOKENS
            : found.mean() + DEVIATION_MULTIPLIER * found.deviation();
    return promptBytes / BYTES_PER_TOKEN + Math.round(Math.min(answer, maxTokens));
  }

  /** Updates the estimate with the length of a completed answer. */
  public void recordAnswer(String workspace, String requestClass, int answerTokens) {
    estimates.merge(
        new Key(workspace, requestClass),
        new Estimate(answerTokens, 0),
        (old, ignored) -> old.withSample(answerTokens));
  }
}
