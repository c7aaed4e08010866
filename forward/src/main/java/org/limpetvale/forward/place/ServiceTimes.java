package org.limpetvale.forward.place;

import org.limpetvale.core.placement.LearnedSpeed;
import org.limpetvale.core.placement.StatedSlowdown;
import org.limpetvale.core.placement.UpstreamLatencyRatio;

/**
 * The times that work takes over all upstreams of a service, which single ones are compared with.
 * Must only be used on the event loop.
 */
final class ServiceTimes {
  /**
   * Number of responses after which the weight of an earlier one in the latency ratio has fallen to
   * a third.
   */
  private static final double LATENCY_RATIO_SAMPLES = 200;

  private final UpstreamLatencyRatio latencyRatio =
      UpstreamLatencyRatio.empty(LATENCY_RATIO_SAMPLES);
  private final LearnedSpeed speed = LearnedSpeed.ofService();
  private StatedSlowdown stated = StatedSlowdown.NONE;

  /** Returns the ratio of measured to predicted times. */
  UpstreamLatencyRatio latencyRatio() {
    return latencyRatio;
  }

  /** Returns the times by kind of work. */
  LearnedSpeed speed() {
    return speed;
  }

  /** Records that an upstream has stated by which factor work takes longer than usual. */
  void slowdownStated(double factor, long nowMillis) {
    stated = stated.withStatement(factor, nowMillis);
  }

  /** Returns the mean of the stated factors. */
  double meanSlowdown() {
    return stated.meanFactor();
  }
}
