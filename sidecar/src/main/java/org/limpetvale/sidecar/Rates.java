package org.limpetvale.sidecar;

/**
 * Exponentially smoothed rates of the upstream, as measured by this sidecar.
 *
 * @param streamTokensPerSecond output rate of one stream, in tokens per second; 0 before the first
 *     sample
 * @param firstTokenMillis time from dispatch to the first token, in milliseconds; 0 before the
 *     first sample
 */
record Rates(double streamTokensPerSecond, double firstTokenMillis) {
  private static final double SMOOTHING = 0.2;

  static Rates empty() {
    return new Rates(0, 0);
  }

  Rates withStream(double observedTokensPerSecond) {
    return new Rates(smooth(streamTokensPerSecond, observedTokensPerSecond), firstTokenMillis);
  }

  Rates withFirstToken(double observedMillis) {
    return new Rates(streamTokensPerSecond, smooth(firstTokenMillis, observedMillis));
  }

  private static double smooth(double old, double observed) {
    return old == 0 ? observed : old + SMOOTHING * (observed - old);
  }
}
