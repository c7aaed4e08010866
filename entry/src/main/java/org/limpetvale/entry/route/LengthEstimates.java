package org.limpetvale.entry.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Estimated lengths of answers by workspace and class, learnt from those that have ended. */
public final class LengthEstimates {
  private static final double SMOOTHING = 0.1;
  private static final double DEVIATIONS = 1;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int FIRST_ESTIMATE_TOKENS = 128;

  private final Map<Name, Estimate> estimates = new ConcurrentHashMap<>();

  private record Name(String workspace, String requestClass) {}

  private record Estimate(double mean, double deviation) {
    Estimate learn(double tokens) {
      double error = tokens - mean;
      return new Estimate(
          mean + SMOOTHING * error, deviation + SMOOTHING * (Math.abs(error) - deviation));
    }
  }

  /** Estimates the tokens of prompt and answer. */
  public long estimate(String workspace, String requestClass, int promptBytes, int maxTokens) {
    Estimate found = estimates.get(new Name(workspace, requestClass));
    double answer =
        found == null ? FIRST_ESTIMATE_TOKENS : found.mean() + DEVIATIONS * found.deviation();
    return promptBytes / BYTES_PER_TOKEN + Math.round(Math.min(answer, maxTokens));
  }

  /** Learns from an answer that has ended. */
  public void learn(String workspace, String requestClass, int answerTokens) {
    estimates.merge(
        new Name(workspace, requestClass),
        new Estimate(answerTokens, 0),
        (old, ignored) -> old.learn(answerTokens));
  }
}
