package org.limpetvale.core.placement;

/**
 * Recent ratio of measured to predicted time until an answer begins, for one upstream or all
 * upstreams of a service.
 *
 * <p>Detects an upstream that has become slow while it still accepts requests, answers them and
 * reports itself healthy. Comparing with the prediction excludes delay explained by the upstream's
 * queue; comparing with its peers excludes prediction errors common to all upstreams.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamLatencyRatio {
  /** Number of answers before the ratio is known. */
  private static final double MIN_SAMPLES = 2;

  /**
   * Time without answers after which the ratio is discarded. A slow upstream gets no requests and
   * could not recover otherwise.
   */
  private static final long RETENTION_MILLIS = 4_000;

  /** Up to this multiple of the peers' ratio, an upstream does not count as slow. */
  private static final double MAX_NORMAL_RATIO = 2;

  private static final double MIN_SPEED = 0.05;
  private static final double MEDIAN = 0.5;

  private final DecayingHistogram ratios;
  private long lastAnswerMillis;

  private UpstreamLatencyRatio(double decaySamples) {
    this.ratios = DecayingHistogram.withDecaySamples(decaySamples);
  }

  /**
   * Returns an instance without answers.
   *
   * @param decaySamples number of answers after which the weight of an old one has fallen to about
   *     a third
   */
  public static UpstreamLatencyRatio empty(double decaySamples) {
    return new UpstreamLatencyRatio(decaySamples);
  }

  /**
   * Records an answer that begins now.
   *
   * @param millis time since the request was sent
   * @param predictedMillis predicted time until the answer begins
   */
  public void recordAnswer(double millis, double predictedMillis, long nowMillis) {
    ratios.add(Math.max(1, millis) / Math.max(1, predictedMillis));
    lastAnswerMillis = nowMillis;
  }

  /** Returns the median ratio of measured to predicted time, or 0 if unknown. */
  private double medianRatio() {
    return ratios.effectiveSamples() >= MIN_SAMPLES - 1 ? ratios.quantile(MEDIAN) : 0;
  }

  /**
   * Returns the speed relative to the peers: 1, or less for a clearly slower upstream, or 0 if
   * unknown.
   *
   * @param peers ratio over all upstreams of the service
   * @param nowMillis monotonic time in milliseconds
   */
  public double relativeSpeed(UpstreamLatencyRatio peers, long nowMillis) {
    double ownRatio = medianRatio();
    double peerRatio = peers.medianRatio();
    if (ownRatio <= 0 || peerRatio <= 0 || nowMillis - lastAnswerMillis > RETENTION_MILLIS) {
      return 0;
    }
    double slowdown = ownRatio / peerRatio;
    return slowdown <= MAX_NORMAL_RATIO ? 1 : Math.max(MIN_SPEED, 1 / slowdown);
  }
}
