package org.limpetvale.forward.relay;

/** How quickly an answer comes: its first bytes and the longest pause between its parts. */
final class ResponseTiming {
  private final long arrivedMillis;
  private long firstContentMillis;
  private long lastContentMillis;
  private long longestGapMillis;

  /**
   * Creates the pace of an answer of which nothing has come.
   *
   * @param arrivedMillis monotonic time at which its request arrived
   */
  ResponseTiming(long arrivedMillis) {
    this.arrivedMillis = arrivedMillis;
  }

  /** Notes a part of the body that came now. */
  void recordContent(long nowMillis) {
    if (lastContentMillis == 0) {
      firstContentMillis = nowMillis - arrivedMillis;
    } else {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastContentMillis);
    }
    lastContentMillis = nowMillis;
  }

  /** Returns the time from the request's arrival to the first part; 0 before it. */
  long firstContentMillis() {
    return firstContentMillis;
  }

  /** Returns the longest pause between two parts. */
  long longestGapMillis() {
    return longestGapMillis;
  }
}
