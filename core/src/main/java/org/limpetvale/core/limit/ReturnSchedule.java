package org.limpetvale.core.limit;

/**
 * Spreads the return of refused callers over time at the rate at which they can be served. Not safe
 * for use by several threads.
 *
 * <p>A service whose upstreams are all limited refuses most callers of a burst. If all of them were
 * told the same time, they would return together and most would be refused again.
 */
public final class ReturnSchedule {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final long minMillis;
  private final long maxMillis;
  private double nextReturnMillis;

  private ReturnSchedule(long minMillis, long maxMillis) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
  }

  /**
   * Returns a schedule without callers.
   *
   * @param minMillis shortest time after which a caller may return
   * @param maxMillis longest time that a caller is told
   */
  public static ReturnSchedule of(long minMillis, long maxMillis) {
    return new ReturnSchedule(minMillis, maxMillis);
  }

  /**
   * Returns the time after which a caller should return.
   *
   * @param nowMillis current time
   * @param acceptedFromMillis time from which requests are accepted; may have passed
   * @param requestsPerSecond rate at which returning callers can be served
   * @param waiting requests that are served before it
   */
  public long returnAfterMillis(
      long nowMillis, long acceptedFromMillis, double requestsPerSecond, int waiting) {
    double intervalMillis = MILLIS_PER_SECOND / Math.max(requestsPerSecond, 1 / MILLIS_PER_SECOND);
    double servedMillis = Math.max(nowMillis, acceptedFromMillis) + waiting * intervalMillis;
    double earliestMillis = Math.max(nowMillis + minMillis, servedMillis);
    double returnMillis = Math.max(earliestMillis, nextReturnMillis);
    double latestMillis = nowMillis + (double) maxMillis;
    nextReturnMillis = Math.min(returnMillis + intervalMillis, latestMillis);
    return Math.round(Math.min(returnMillis, latestMillis) - nowMillis);
  }
}
