package org.limpetvale.cli;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What became of the requests of one flow. */
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
  private int whole;
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

  synchronized void recordFailed(String how) {
    failures.merge(how, 1, Integer::sum);
  }

  synchronized void recordWasted(long tokens) {
    wastedTokens += tokens;
  }

  synchronized void recordWhole(
      int tokens, double firstMillis, double gapMillis, boolean attainedTarget) {
    whole++;
    deliveredTokens += tokens;
    firstToken.recordValue(Math.min(MAX_MICROS, Math.round(firstMillis * MICROS_PER_MILLI)));
    gap.recordValue(Math.min(MAX_MICROS, Math.round(gapMillis * MICROS_PER_MILLI)));
    if (attainedTarget) {
      attained++;
      attainedTokens += tokens;
    }
  }

  /** Returns the figures. */
  synchronized Figures figures() {
    return new Figures(
        sent,
        resent,
        whole,
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
   * @param sent requests
   * @param resent requests that were sent once more
   * @param whole requests with a whole answer
   * @param attained requests with a whole answer within its targets
   * @param attainment attained by sent
   * @param deliveredTokens tokens of whole answers
   * @param attainedTokens tokens of answers within their targets
   * @param wastedTokens tokens of answers that were not whole
   * @param firstTokenP50Millis median of the time to the first token
   * @param firstTokenP95Millis its 95th percentile
   * @param firstTokenP99Millis its 99th percentile
   * @param gapP50Millis median of the mean gap between tokens
   * @param gapP95Millis its 95th percentile
   * @param refusals refusals by code
   * @param failures failures by kind
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
