package org.limpetvale.forward.relay;

/** How quickly an answer comes: its first bytes and the longest pause between its parts. */
final class AnswerPace {
  private final long arrivedMillis;
  private long firstMillis;
  private long lastMillis;
  private long longestGapMillis;

  /**
   * Creates the pace of an answer of which nothing has come.
   *
   * @param arrivedMillis monotonic time at which its request arrived
   */
  AnswerPace(long arrivedMillis) {
    this.arrivedMillis = arrivedMillis;
  }

  /** Notes a part of the body that came now. */
  void content(long nowMillis) {
    if (lastMillis == 0) {
      firstMillis = nowMillis - arrivedMillis;
    } else {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastMillis);
    }
    lastMillis = nowMillis;
  }

  /** Returns the time from the request's arrival to the first part; 0 before it. */
  long firstMillis() {
    return firstMillis;
  }

  /** Returns the longest pause between two parts. */
  long longestGapMillis() {
    return longestGapMillis;
  }
}
