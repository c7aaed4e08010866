package org.limpetvale.core.placement;

/**
 * A histogram of positive numbers in which the weight of old samples decays with each new one.
 *
 * <p>Each bucket is 10 percent wider than the one before it, so quantiles are accurate to about 5
 * percent. Not thread-safe.
 */
final class DecayingHistogram {
  private static final double BUCKET_GROWTH = 1.1;
  private static final double LOG_BUCKET_GROWTH = Math.log(BUCKET_GROWTH);

  /** Buckets from {@link #MIN_VALUE} to about 20,000. */
  private static final int BUCKETS = 130;

  private static final double MIN_VALUE = 0.1;

  private static final double MAX_SAMPLE_WEIGHT = 1e9;

  private final double weightGrowth;
  private final double[] weights = new double[BUCKETS];
  private double totalWeight;

  /** Weight of the next sample. Increasing it for each sample makes all earlier ones decay. */
  private double sampleWeight = 1;

  private DecayingHistogram(double growth) {
    this.weightGrowth = growth;
  }

  /**
   * Returns an empty histogram.
   *
   * @param samples number of samples after which the weight of an old one has fallen to about a
   *     third
   */
  static DecayingHistogram withDecaySamples(double samples) {
    return new DecayingHistogram(1 + 1 / samples);
  }

  /** Adds a sample. */
  void add(double value) {
    weights[bucket(value)] += sampleWeight;
    totalWeight += sampleWeight;
    sampleWeight *= weightGrowth;
    if (sampleWeight > MAX_SAMPLE_WEIGHT) {
      rescale();
    }
  }

  private void rescale() {
    for (int i = 0; i < BUCKETS; i++) {
      weights[i] /= sampleWeight;
    }
    totalWeight /= sampleWeight;
    sampleWeight = 1;
  }

  /** Returns the effective number of samples, each counted with its decayed weight. */
  double effectiveSamples() {
    return totalWeight / sampleWeight;
  }

  /** Returns the value below which the given share of the samples lies, or 0 without samples. */
  double quantile(double share) {
    double remaining = share * totalWeight;
    for (int i = 0; i < BUCKETS; i++) {
      remaining -= weights[i];
      if (weights[i] > 0 && remaining <= 0) {
        return MIN_VALUE * Math.pow(BUCKET_GROWTH, i + 0.5);
      }
    }
    return 0;
  }

  private static int bucket(double value) {
    double position = Math.log(Math.max(MIN_VALUE, value) / MIN_VALUE) / LOG_BUCKET_GROWTH;
    return Math.min(BUCKETS - 1, (int) position);
  }
}
