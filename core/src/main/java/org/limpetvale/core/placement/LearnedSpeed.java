package org.limpetvale.core.placement;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Learns the speed of an upstream relative to the others of its service, apart for each kind of
 * work.
 *
 * <p>Machines of a service may differ in speed for as long as they live. The speed is the ratio of
 * the times over all upstreams of the service to the upstream's own times, and small differences
 * are taken for noise. Sudden slowness is not its matter; see {@link UpstreamLatencyRatio}.
 *
 * <p>Not thread-safe.
 */
public final class LearnedSpeed {
  /** A kind of work whose times are compared. */
  public enum Work {
    /**
     * Work until an answer begins, such as a call or the reading of a prompt; its times are
     * multiples of the predicted time.
     */
    BEGINNING(0.5),

    /**
     * Making the tokens of the next event of a stream. Most long pauses come from prompts that are
     * read in between, so a low quantile is compared.
     */
    NEXT_EVENT(0.2);

    private final double quantile;

    Work(double quantile) {
      this.quantile = quantile;
    }
  }

  /** Number of samples of one upstream after which an old one weighs about a third. */
  private static final double UPSTREAM_SAMPLES = 60;

  /** The same for all upstreams of a service together. */
  private static final double SERVICE_SAMPLES = 2_000;

  /** Number of samples before a speed is known. */
  private static final double MIN_SAMPLES = 12;

  /** Number of samples for which a speed is drawn halfway towards the usual one. */
  private static final double SAMPLES_OF_USUAL = 6;

  /** Speeds up to this ratio from the usual one are taken for noise. */
  private static final double NOISE_RATIO = 1.2;

  private static final double MAX_RATIO = 2.5;

  private final Map<Work, DecayingHistogram> times = new EnumMap<>(Work.class);

  private LearnedSpeed(double decaySamples) {
    for (Work work : Work.values()) {
      times.put(work, DecayingHistogram.withDecaySamples(decaySamples));
    }
  }

  /** Returns an instance without samples for one upstream. */
  public static LearnedSpeed ofUpstream() {
    return new LearnedSpeed(UPSTREAM_SAMPLES);
  }

  /** Returns an instance without samples for all upstreams of a service together. */
  public static LearnedSpeed ofService() {
    return new LearnedSpeed(SERVICE_SAMPLES);
  }

  /**
   * Records how long work has taken.
   *
   * @param time time in milliseconds or, for the beginning of an answer, in multiples of the
   *     predicted time
   */
  public void record(Work work, double time) {
    times.get(work).add(time);
  }

  /**
   * Returns the speed; 1 is that of the service's other upstreams, and more is faster.
   *
   * @param service times over all upstreams of the service
   * @return the speed; empty before there are enough samples
   */
  public OptionalDouble relativeTo(LearnedSpeed service) {
    double samples = 0;
    double logSpeed = 0;
    for (Work work : Work.values()) {
      DecayingHistogram own = times.get(work);
      DecayingHistogram all = service.times.get(work);
      double weight = own.effectiveSamples();
      if (weight >= MIN_SAMPLES - 1) {
        samples += weight;
        logSpeed += weight * Math.log(all.quantile(work.quantile) / own.quantile(work.quantile));
      }
    }
    if (samples == 0) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(withoutNoise(Math.exp(logSpeed / (samples + SAMPLES_OF_USUAL))));
  }

  private static double withoutNoise(double speed) {
    boolean usual = speed < NOISE_RATIO && speed > 1 / NOISE_RATIO;
    return usual ? 1 : Math.clamp(speed, 1 / MAX_RATIO, MAX_RATIO);
  }
}
