package org.limpetvale.core.retry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Records the requests for a service and the retries that reached it, to check the fleet-wide retry
 * budget in every sliding window.
 *
 * <p>A window allows {@code ratio} times its requests plus the allowance. Its requests are the
 * largest count of three windows: the window itself, the one before it and the one half a window
 * before it.
 */
public final class BudgetHistory {
  private final long windowMillis;
  private final double ratio;
  private final double allowance;
  private final List<Long> requestsAtMillis = new ArrayList<>();
  private final List<Long> retriesAtMillis = new ArrayList<>();

  /**
   * The use of the budget in one window.
   *
   * @param endMillis end of the window, inclusive
   * @param retries number of retries that arrived in the window
   * @param allowed number of retries allowed in the window
   */
  public record Window(long endMillis, long retries, double allowed) {
    /** Returns the retries as a fraction of the allowed ones. */
    public double usedFraction() {
      return retries / allowed;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d retries where %.1f are allowed (%.2f) in the window to %d ms",
          retries,
          allowed,
          usedFraction(),
          endMillis);
    }
  }

  private BudgetHistory(long windowMillis, double ratio, double allowance) {
    this.windowMillis = windowMillis;
    this.ratio = ratio;
    this.allowance = allowance;
  }

  /** Returns an empty history. */
  public static BudgetHistory of(long windowMillis, double ratio, double allowance) {
    return new BudgetHistory(windowMillis, ratio, allowance);
  }

  /** Records a request sent by a client. */
  public void recordRequest(long atMillis) {
    requestsAtMillis.add(atMillis);
  }

  /** Records an arrival at an upstream that was not the first of its request. */
  public void recordRetry(long atMillis) {
    retriesAtMillis.add(atMillis);
  }

  /** Returns the number of retries. */
  public int retryCount() {
    return retriesAtMillis.size();
  }

  /** Returns the window that used the largest fraction of its budget. */
  public Window worstWindow() {
    long[] requests = sorted(requestsAtMillis);
    long[] retries = sorted(retriesAtMillis);
    return LongStream.of(retries)
        .boxed()
        .flatMap(at -> Stream.of(at, at + windowMillis - 1))
        .map(endMillis -> window(requests, retries, endMillis))
        .max(Comparator.comparingDouble(Window::usedFraction))
        .orElse(new Window(0, 0, allowance));
  }

  private Window window(long[] requests, long[] retries, long endMillis) {
    long maxRequests =
        LongStream.of(endMillis, endMillis - windowMillis, endMillis - windowMillis / 2)
            .map(each -> count(requests, each))
            .max()
            .orElse(0);
    return new Window(endMillis, count(retries, endMillis), ratio * maxRequests + allowance);
  }

  private long count(long[] times, long endMillis) {
    return countUpTo(times, endMillis) - countUpTo(times, endMillis - windowMillis);
  }

  private static long[] sorted(List<Long> times) {
    return times.stream().mapToLong(Long::longValue).sorted().toArray();
  }

  private static int countUpTo(long[] times, long millis) {
    int found = Arrays.binarySearch(times, millis);
    if (found < 0) {
      return -found - 1;
    }
    while (found < times.length && times[found] == millis) {
      found++;
    }
    return found;
  }
}
