package org.limpetvale.core.admission;

import java.util.Comparator;
import java.util.Objects;

/**
 * The order in which an entry tries to dispatch its waiting requests.
 *
 * <p>Under overload not every request can meet its latency target. Requests that still can come
 * first, by rank and arrival time; the others use the remaining capacity, so that a burst does not
 * make every request late. To prevent starvation, a request that has used up most of the time until
 * its deadline comes before all others.
 */
public final class DispatchOrder {
  /** Share of the time until its deadline after which a request comes before all others. */
  private static final double OVERDUE_SHARE = 0.6;

  private DispatchOrder() {}

  /**
   * The attributes of a waiting request that determine its position.
   *
   * @param rank rank among all requests; 0 is the highest
   * @param arrivedMillis arrival time, in milliseconds
   * @param targetLatencyMillis latency target, in milliseconds
   * @param deadlineMillis time at which the request expires, in milliseconds
   */
  public record SortKey(
      int rank, long arrivedMillis, long targetLatencyMillis, long deadlineMillis) {}

  /** Returns the order as of the given time. */
  public static Comparator<SortKey> at(long nowMillis) {
    return Comparator.comparingInt((SortKey key) -> priorityBand(key, nowMillis))
        .thenComparingInt(SortKey::rank)
        .thenComparingLong(SortKey::arrivedMillis);
  }

  private static int priorityBand(SortKey key, long nowMillis) {
    Objects.requireNonNull(key, "key is null");
    long waitedMillis = nowMillis - key.arrivedMillis();
    long totalMillis = key.deadlineMillis() - key.arrivedMillis();
    if (waitedMillis >= OVERDUE_SHARE * totalMillis) {
      return 0;
    }
    return waitedMillis < key.targetLatencyMillis() ? 1 : 2;
  }
}
