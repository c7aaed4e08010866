package org.limpetvale.core.retry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The requests for a service and the repeats that reached it, for checks of the fleet-wide retry
 * budget in every sliding window.
 *
 * <p>A window allows {@code ratio} times its requests plus the allowance. Its requests are counted
 * in the window itself, in the one before it and in the one half a window before it, whichever has
 * most.
 */
public final class BudgetHistory {
  private final long windowMillis;
  private final double ratio;
  private final double allowance;
  private final List<Long> requestsAtMillis = new ArrayList<>();
  private final List<Long> repeatsAtMillis = new ArrayList<>();

  /**
   * A window.
   *
   * @param endMillis its end, which belongs to it
   * @param retries repeats that arrived in it
   * @param allowed repeats that may arrive in it
   */
  public record Window(long endMillis, long retries, double allowed) {
    /** Returns the repeats as a part of what is allowed. */
    public double usedFraction() {
      return retries / allowed;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d repeats where %.1f are allowed (%.2f) in the window to %d ms",
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

  /** Returns a history of nothing. */
  public static BudgetHistory of(long windowMillis, double ratio, double allowance) {
    return new BudgetHistory(windowMillis, ratio, allowance);
  }

  /** Notes a request that a caller sent. */
  public void recordRequest(long atMillis) {
    requestsAtMillis.add(atMillis);
  }

  /** Notes an arrival at an upstream that was not the first of its request. */
  public void recordRetry(long atMillis) {
    repeatsAtMillis.add(atMillis);
  }

  /** Returns the number of repeats. */
  public int retryCount() {
    return repeatsAtMillis.size();
  }

  /** Returns the window in which most of what is allowed was used. */
  public Window worstWindow() {
    long[] requests = sorted(requestsAtMillis);
    long[] repeats = sorted(repeatsAtMillis);
    return LongStream.of(repeats)
        .boxed()
        .flatMap(at -> Stream.of(at, at + windowMillis - 1))
        .map(endMillis -> window(requests, repeats, endMillis))
        .max(Comparator.comparingDouble(Window::usedFraction))
        .orElse(new Window(0, 0, allowance));
  }

  private Window window(long[] requests, long[] repeats, long endMillis) {
    long most =
        LongStream.of(endMillis, endMillis - windowMillis, endMillis - windowMillis / 2)
            .map(each -> count(requests, each))
            .max()
            .orElse(0);
    return new Window(endMillis, count(repeats, endMillis), ratio * most + allowance);
  }

  private long count(long[] times, long endMillis) {
    return upTo(times, endMillis) - upTo(times, endMillis - windowMillis);
  }

  private static long[] sorted(List<Long> times) {
    return times.stream().mapToLong(Long::longValue).sorted().toArray();
  }

  private static int upTo(long[] times, long millis) {
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
