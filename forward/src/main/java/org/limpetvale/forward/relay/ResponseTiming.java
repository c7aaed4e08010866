package org.limpetvale.forward.relay;

/** Measures the time to the first content of a response and the longest gap between its parts. */
final class ResponseTiming {
  private final long arrivedMillis;
  private long firstContentMillis;
  private long lastContentMillis;
  private long longestGapMillis;

  /**
   * Creates the timing of a response of which nothing has arrived.
   *
   * @param arrivedMillis monotonic time at which the request arrived
   */
  ResponseTiming(long arrivedMillis) {
    this.arrivedMillis = arrivedMillis;
  }

  /** Records the arrival of a part of the body. */
  void recordContent(long nowMillis) {
    if (lastContentMillis == 0) {
      firstContentMillis = nowMillis - arrivedMillis;
    } else {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastContentMillis);
    }
    lastContentMillis = nowMillis;
  }

  /**
   * Returns the time from the arrival of the request to the first part; 0 before the first part.
   */
  long firstContentMillis() {
    return firstContentMillis;
  }

  /** Returns the longest time between two parts. */
  long longestGapMillis() {
    return longestGapMillis;
  }
}
