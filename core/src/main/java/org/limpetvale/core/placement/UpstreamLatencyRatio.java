package org.limpetvale.core.placement;

/**
 * How much longer than predicted an upstream, or all of a service, has lately taken to begin its
 * answers.
 *
 * <p>The load that it answers: an upstream that has turned slow, while it still accepts, answers
 * and says that it is healthy. Comparing with predictions leaves out what its queue explains, and
 * comparing with its peers what the predictions get wrong for all.
 *
 * <p>Not safe for use by several threads.
 */
public final class UpstreamLatencyRatio {
  /** Answers before a pace is known. */
  private static final double FEWEST_SAMPLES = 2;

  /** Time without answers after which an upstream is trusted again, as it is tried no more. */
  private static final long LASTS_MILLIS = 4_000;

  /** Up to this many usual times are no sign of a slow upstream. */
  private static final double USUAL_SPREAD = 2;

  private static final double SLOWEST = 0.05;
  private static final double MEDIAN = 0.5;

  private final DecayingHistogram times;
  private long atMillis;

  private UpstreamLatencyRatio(double memorySamples) {
    this.times = DecayingHistogram.withDecaySamples(memorySamples);
  }

  /**
   * Returns a pace of which nothing is known.
   *
   * @param memorySamples answers after which an old one weighs a third
   */
  public static UpstreamLatencyRatio empty(double memorySamples) {
    return new UpstreamLatencyRatio(memorySamples);
  }

  /**
   * Notes an answer that begins now.
   *
   * @param millis time from the sending of its request
   * @param predictedMillis the time that was predicted
   */
  public void recordAnswer(double millis, double predictedMillis, long nowMillis) {
    times.add(Math.max(1, millis) / Math.max(1, predictedMillis));
    atMillis = nowMillis;
  }

  /** Returns the usual time as a multiple of the predicted one; 0 while it is not known. */
  private double usualTimes() {
    return times.weight() >= FEWEST_SAMPLES - 1 ? times.quantile(MEDIAN) : 0;
  }

  /**
   * Returns the speed against that of the peers: 1, or less for an upstream that is clearly slower;
   * 0 while it is not known.
   *
   * @param peers the pace of all upstreams of the service
   * @param nowMillis monotonic time in milliseconds
   */
  public double relativeSpeed(UpstreamLatencyRatio peers, long nowMillis) {
    double own = usualTimes();
    double usual = peers.usualTimes();
    if (own <= 0 || usual <= 0 || nowMillis - atMillis > LASTS_MILLIS) {
      return 0;
    }
    double slower = own / usual;
    return slower <= USUAL_SPREAD ? 1 : Math.max(SLOWEST, 1 / slower);
  }
}
