package org.limpetvale.core.admission;

import java.util.Comparator;
import java.util.Objects;

/**
 * The order in which requests that wait at an entry are tried.
 *
 * <p>The load that it answers: more requests than can be served within their targets. Those that
 * can still meet their target come first, by rank and arrival; those that cannot fill the places
 * that are left, so that a burst does not make everyone late. A request that has waited for a large
 * part of its time comes before all, so that none starves.
 */
public final class DispatchOrder {
  /** Share of a request's time after which it is tried before all others. */
  private static final double OVERDUE_SHARE = 0.6;

  private DispatchOrder() {}

  /**
   * A request that waits.
   *
   * @param rank rank among all requests, 0 the highest
   * @param arrivedMillis when it arrived
   * @param targetLatencyMillis latency target
   * @param deadlineMillis when its time is over
   */
  public record SortKey(
      int rank, long arrivedMillis, long targetLatencyMillis, long deadlineMillis) {}

  /** Returns the order at a moment. */
  public static Comparator<SortKey> at(long nowMillis) {
    return Comparator.comparingInt((SortKey place) -> band(place, nowMillis))
        .thenComparingInt(SortKey::rank)
        .thenComparingLong(SortKey::arrivedMillis);
  }

  private static int band(SortKey place, long nowMillis) {
    Objects.requireNonNull(place, "place is null");
    long waited = nowMillis - place.arrivedMillis();
    long whole = place.deadlineMillis() - place.arrivedMillis();
    if (waited >= OVERDUE_SHARE * whole) {
      return 0;
    }
    return waited < place.targetLatencyMillis() ? 1 : 2;
  }
}
