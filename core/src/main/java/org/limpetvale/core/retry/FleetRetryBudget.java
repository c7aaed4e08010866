package org.limpetvale.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * One entry's share of the fleet-wide retry budget for a service.
 *
 * <p>In any window the fleet may send {@code ratio} retries for each of its requests, plus a fixed
 * allowance. Each request earns its entry a fraction of a retry, and at most a quarter of what a
 * window earns can be saved. Thus the retries of all entries in a window are bounded by the
 * requests of that window, even if clients move between entries or an entry restarts and has lost
 * its history. Retries beyond the earned ones are taken from the entry's share of the allowance.
 */
public final class FleetRetryBudget {
  /** Share of the budget that may be used; the rest is a margin for saved retries. */
  private static final double USABLE_SHARE = 0.8;

  private static final double MAX_SAVED_WINDOWS = 0.25;

  private final long windowMillis;
  private final double ratio;
  private final double allowance;
  private final Deque<Long> requestsAtMillis = new ArrayDeque<>();
  private final Deque<Long> allowanceUsedAtMillis = new ArrayDeque<>();

  /** Retries earned and not yet sent. */
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
   * @param ratio number of retries allowed per request
   * @param allowance retries of the whole fleet allowed beyond the ratio
   */
  public static FleetRetryBudget of(long windowMillis, double ratio, double allowance) {
    return new FleetRetryBudget(windowMillis, ratio, allowance);
  }

  /** Records the first attempt of a request. */
  public void recordRequest(long nowMillis) {
    requestsAtMillis.addLast(nowMillis);
    earned += USABLE_SHARE * ratio;
    expire(nowMillis);
  }

  /** The part of the budget that a retry is charged to. */
  public enum Source {
    /** Retries earned by requests of this entry. */
    EARNED,
    /** This entry's share of the allowance. */
    ALLOWANCE,
    /** No budget left: the retry must not be sent. */
    NONE
  }

  /**
   * The decision on a retry and the values that it was based on.
   *
   * @param source part of the budget that the retry is charged to
   * @param atMillis monotonic time of the decision
   * @param earned retries earned and not yet sent before the decision
   * @param fromAllowance retries in the window charged to the allowance before the decision
   * @param share this entry's share of the allowance
   */
  public record Decision(
      Source source, long atMillis, double earned, int fromAllowance, AllowanceShare share) {
    public Decision {
      Objects.requireNonNull(source, "source is null");
      Objects.requireNonNull(share, "share is null");
    }

    /** Returns whether the retry may be sent. */
    public boolean granted() {
      return source != Source.NONE;
    }
  }

  /**
   * Takes a retry from the budget if one is available.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param share this entry's share of the allowance
   */
  public Decision tryAcquire(long nowMillis, AllowanceShare share) {
    expire(nowMillis);
    double earnedRetries = earned;
    int fromAllowance = allowanceUsedAtMillis.size();
    Source source =
        takeEarned()
            ? Source.EARNED
            : takeAllowance(nowMillis, share) ? Source.ALLOWANCE : Source.NONE;
    return new Decision(source, nowMillis, earnedRetries, fromAllowance, share);
  }

  /** Puts a granted but unsent retry back into the budget. */
  public void release(Decision unsent) {
    switch (unsent.source()) {
      case EARNED -> earned++;
      case ALLOWANCE -> allowanceUsedAtMillis.removeFirstOccurrence(unsent.atMillis());
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
    double limit = USABLE_SHARE * allowance * share.fraction();
    if (allowanceUsedAtMillis.size() + 1 > limit) {
      return false;
    }
    allowanceUsedAtMillis.addLast(nowMillis);
    return true;
  }

  private void expire(long nowMillis) {
    removeExpired(requestsAtMillis, nowMillis);
    removeExpired(allowanceUsedAtMillis, nowMillis);
    double earnedInWindow = USABLE_SHARE * ratio * requestsAtMillis.size();
    earned = Math.min(earned, Math.max(1, MAX_SAVED_WINDOWS * earnedInWindow));
  }

  private void removeExpired(Deque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peekFirst() > windowMillis) {
      times.removeFirst();
    }
  }
}
