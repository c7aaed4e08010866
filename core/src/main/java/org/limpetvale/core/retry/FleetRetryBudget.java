package org.limpetvale.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * One entry's part of a fleet-wide retry budget for one service.
 *
 * <p>In any window the fleet may send {@code ratio} repeats for each of its requests, and a fixed
 * allowance beyond these. Each request earns its entry a part of a repeat, and only a quarter of
 * what a window earns can be saved; so the repeats of all entries in a window follow from the
 * requests of that window, also when callers move between entries, or when an entry starts anew and
 * does not know what it sent before. What is not earned comes out of the entry's part of the
 * allowance.
 */
public final class FleetRetryBudget {
  /** Part of the budget that is used, so that savings do not lead beyond it. */
  private static final double USED_PART = 0.8;

  private static final double SAVED_WINDOWS = 0.25;

  private final long windowMillis;
  private final double ratio;
  private final double allowance;
  private final Deque<Long> requestsAtMillis = new ArrayDeque<>();
  private final Deque<Long> allowanceTakenAtMillis = new ArrayDeque<>();

  /** Repeats that were earned and not yet sent. */
  private double earned;

  private FleetRetryBudget(long windowMillis, double ratio, double allowance) {
    this.windowMillis = windowMillis;
    this.ratio = ratio;
    this.allowance = allowance;
  }

  /**
   * Returns an unused budget.
   *
   * @param windowMillis length of the sliding window in milliseconds
   * @param ratio repeats for each request
   * @param allowance repeats of the whole fleet beyond the ratio
   */
  public static FleetRetryBudget of(long windowMillis, double ratio, double allowance) {
    return new FleetRetryBudget(windowMillis, ratio, allowance);
  }

  /** Notes a request that was sent for the first time. */
  public void recordRequest(long nowMillis) {
    requestsAtMillis.addLast(nowMillis);
    earned += USED_PART * ratio;
    expire(nowMillis);
  }

  /** What pays for a repeat. */
  public enum Source {
    /** Requests of this entry. */
    EARNED,
    /** This entry's part of the allowance. */
    ALLOWANCE,
    /** Nothing: the repeat may not be sent. */
    NONE
  }

  /**
   * What was decided on a repeat, and on which grounds.
   *
   * @param source what pays for it
   * @param atMillis monotonic time of the decision
   * @param earned repeats that had been earned and not sent
   * @param fromAllowance repeats in the window that the allowance paid for
   * @param share this entry's part of the allowance
   */
  public record Decision(
      Source source, long atMillis, double earned, int fromAllowance, AllowanceShare share) {
    public Decision {
      Objects.requireNonNull(source, "source is null");
      Objects.requireNonNull(share, "share is null");
    }

    /** Tells whether the repeat may be sent. */
    public boolean granted() {
      return source != Source.NONE;
    }
  }

  /**
   * Takes a repeat out of the budget, if there is one.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param share this entry's part of the allowance
   */
  public Decision tryAcquire(long nowMillis, AllowanceShare share) {
    expire(nowMillis);
    double earnedBefore = earned;
    int fromAllowance = allowanceTakenAtMillis.size();
    Source source =
        takeEarned()
            ? Source.EARNED
            : takeAllowance(nowMillis, share) ? Source.ALLOWANCE : Source.NONE;
    return new Decision(source, nowMillis, earnedBefore, fromAllowance, share);
  }

  /** Takes back what a repeat was granted that was not sent. */
  public void release(Decision unsent) {
    switch (unsent.source()) {
      case EARNED -> earned++;
      case ALLOWANCE -> allowanceTakenAtMillis.removeFirstOccurrence(unsent.atMillis());
      case NONE -> {}
    }
  }

  private boolean takeEarned() {
    if (earned < 1) {
      return false;
    }
    earned--;
    return true;
  }

  private boolean takeAllowance(long nowMillis, AllowanceShare share) {
    double most = USED_PART * allowance * share.fraction();
    if (allowanceTakenAtMillis.size() + 1 > most) {
      return false;
    }
    allowanceTakenAtMillis.addLast(nowMillis);
    return true;
  }

  private void expire(long nowMillis) {
    dropOlder(requestsAtMillis, nowMillis);
    dropOlder(allowanceTakenAtMillis, nowMillis);
    double earnedInWindow = USED_PART * ratio * requestsAtMillis.size();
    earned = Math.min(earned, Math.max(1, SAVED_WINDOWS * earnedInWindow));
  }

  private void dropOlder(Deque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peekFirst() > windowMillis) {
      times.removeFirst();
    }
  }
}
