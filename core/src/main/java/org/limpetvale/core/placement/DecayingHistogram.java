package org.limpetvale.core.placement;

/**
 * A histogram of positive numbers that forgets old ones as new ones come.
 *
 * <p>Buckets grow by a tenth, so a quantile is exact to 5 in 100. Not safe for use by several
 * threads.
 */
final class DecayingHistogram {
  private static final double GROWTH = 1.1;
  private static final double LOG_GROWTH = Math.log(GROWTH);

  /** Buckets from {@link #SMALLEST} to about 20,000. */
  private static final int BUCKETS = 130;

  private static final double SMALLEST = 0.1;

  private static final double LARGEST_STEP = 1e9;

  private final double growth;
  private final double[] weights = new double[BUCKETS];
  private double total;

  /** Weight of the next sample; growing it lets all earlier ones decay. */
  private double step = 1;

  private DecayingHistogram(double growth) {
    this.growth = growth;
  }

  /**
   * Returns a histogram without numbers.
   *
   * @param samples samples after which an old one weighs a third
   */
  static DecayingHistogram withDecaySamples(double samples) {
    return new DecayingHistogram(1 + 1 / samples);
  }

  /** Adds a number. */
  void add(double value) {
    weights[bucket(value)] += step;
    total += step;
    step *= growth;
    if (step > LARGEST_STEP) {
      rescale();
    }
  }

  private void rescale() {
    for (int i = 0; i < BUCKETS; i++) {
      weights[i] /= step;
    }
    total /= step;
    step = 1;
  }

  /** Returns the number of samples that it remembers, old ones counted by their weight. */
  double weight() {
    return total / step;
  }

  /** Returns the number below which a share of the samples lies; 0 without samples. */
  double quantile(double share) {
    double left = share * total;
    for (int i = 0; i < BUCKETS; i++) {
      left -= weights[i];
      if (weights[i] > 0 && left <= 0) {
        return SMALLEST * Math.pow(GROWTH, i + 0.5);
      }
    }
    return 0;
  }

  private static int bucket(double value) {
    double position = Math.log(Math.max(SMALLEST, value) / SMALLEST) / LOG_GROWTH;
    return Math.min(BUCKETS - 1, (int) position);
  }
}
