package org.limpetvale.cli;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the results of the requests of one flow. */
final class LoadResult {
  private static final long MAX_MICROS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000;

  private final Histogram firstToken = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram gap = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> refusals = new TreeMap<>();
  private final Map<String, Integer> failures = new TreeMap<>();
  private int sent;
  private int resent;
  private int completed;
  private int attained;
  private long deliveredTokens;
  private long attainedTokens;
  private long wastedTokens;

  synchronized void recordSent() {
    sent++;
  }

  synchronized void recordResent() {
    resent++;
  }

  synchronized void recordRefused(String code) {
    refusals.merge(code, 1, Integer::sum);
  }

  synchronized void recordFailed(String kind) {
    failures.merge(kind, 1, Integer::sum);
  }

  synchronized void recordWasted(long tokens) {
    wastedTokens += tokens;
  }

  synchronized void recordCompleted(
      int tokens, double firstMillis, double gapMillis, boolean attainedTarget) {
    completed++;
    deliveredTokens += tokens;
    firstToken.recordValue(Math.min(MAX_MICROS, Math.round(firstMillis * MICROS_PER_MILLI)));
    gap.recordValue(Math.min(MAX_MICROS, Math.round(gapMillis * MICROS_PER_MILLI)));
    if (attainedTarget) {
      attained++;
      attainedTokens += tokens;
    }
  }

  /** Returns the figures collected so far. */
  synchronized Figures figures() {
    return new Figures(
        sent,
        resent,
        completed,
        attained,
        sent == 0 ? 1 : attained / (double) sent,
        deliveredTokens,
        attainedTokens,
        wastedTokens,
        firstToken.getValueAtPercentile(50) / MICROS_PER_MILLI,
        firstToken.getValueAtPercentile(95) / MICROS_PER_MILLI,
        firstToken.getValueAtPercentile(99) / MICROS_PER_MILLI,
        gap.getValueAtPercentile(50) / MICROS_PER_MILLI,
        gap.getValueAtPercentile(95) / MICROS_PER_MILLI,
        Map.copyOf(refusals),
        Map.copyOf(failures));
  }

  /**
   * Figures of a flow.
   *
   * @param sent number of requests
   * @param resent number of retries
   * @param whole number of requests with a complete answer
   * @param attained number of requests answered completely within the latency targets of the flow
   * @param attainment ratio of {@code attained} to {@code sent}; 1 if none were sent
   * @param deliveredTokens tokens of complete answers
   * @param attainedTokens tokens of complete answers within the latency targets of the flow
   * @param wastedTokens tokens of incomplete answers
   * @param firstTokenP50Millis median time to first token, in milliseconds
   * @param firstTokenP95Millis 95th percentile of the time to first token, in milliseconds
   * @param firstTokenP99Millis 99th percentile of the time to first token, in milliseconds
   * @param gapP50Millis median of the mean gap between tokens, in milliseconds
   * @param gapP95Millis 95th percentile of the mean gap between tokens, in milliseconds
   * @param refusals number of refusals by result code
   * @param failures number of failures by kind
   */
  record Figures(
      int sent,
      int resent,
      int whole,
      int attained,
      double attainment,
      long deliveredTokens,
      long attainedTokens,
      long wastedTokens,
      double firstTokenP50Millis,
      double firstTokenP95Millis,
      double firstTokenP99Millis,
      double gapP50Millis,
      double gapP95Millis,
      Map<String, Integer> refusals,
      Map<String, Integer> failures) {}
}
