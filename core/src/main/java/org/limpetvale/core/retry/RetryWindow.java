package org.limpetvale.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * This entry's share of a fleet-wide retry budget for one service, over a sliding window.
 *
 * <p>Within any window the entry sends at most {@code ratio} times its own requests plus its share
 * of the fixed allowance. The shares of all entries add up to at most the budget of the fleet as
 * long as each counts at least as many entries as there are.
 */
public final class RetryWindow {
  /** Share of the budget that is used, so that counts at the edges of windows do not exceed it. */
  private static final double USED_SHARE = 0.8;

  private final long windowMillis;
  private final double ratio;
  private final double allowance;
  private final Deque<Long> requestsAtMillis = new ArrayDeque<>();
  private final Deque<Long> retriesAtMillis = new ArrayDeque<>();

  private RetryWindow(long windowMillis, double ratio, double allowance) {
    this.windowMillis = windowMillis;
    this.ratio = ratio;
    this.allowance = allowance;
  }

  /**
   * Returns an unused window.
   *
   * @param windowMillis length of the window in milliseconds
   * @param ratio repeats for each request
   * @param allowance repeats of the whole fleet beyond the ratio
   */
  public static RetryWindow of(long windowMillis, double ratio, double allowance) {
    return new RetryWindow(windowMillis, ratio, allowance);
  }

  /** Notes a request that was sent for the first time. */
  public void request(long nowMillis) {
    requestsAtMillis.addLast(nowMillis);
    expire(nowMillis);
  }

  /**
   * What was decided on a repeat, and on which grounds.
   *
   * @param granted whether the repeat may be sent
   * @param requests requests in the window
   * @param retries repeats in the window before this one
   * @param share this entry's part of the allowance
   */
  public record Decision(boolean granted, int requests, int retries, AllowanceShare share) {
    public Decision {
      Objects.requireNonNull(share, "share is null");
    }
  }

  /**
   * Takes a repeat out of the budget, if there is one.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param share this entry's part of the allowance
   */
  public Decision tryTake(long nowMillis, AllowanceShare share) {
    expire(nowMillis);
    double most = USED_SHARE * (ratio * requestsAtMillis.size() + allowance * share.part());
    int retries = retriesAtMillis.size();
    boolean granted = retries + 1 <= most;
    if (granted) {
      retriesAtMillis.addLast(nowMillis);
    }
    return new Decision(granted, requestsAtMillis.size(), retries, share);
  }

  private void expire(long nowMillis) {
    dropOlder(requestsAtMillis, nowMillis);
    dropOlder(retriesAtMillis, nowMillis);
  }

  private void dropOlder(Deque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peekFirst() > windowMillis) {
      times.removeFirst();
    }
  }
}
