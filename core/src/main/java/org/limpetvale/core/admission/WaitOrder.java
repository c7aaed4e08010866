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
public final class WaitOrder {
  /** Share of a request's time after which it is tried before all others. */
  private static final double OVERDUE_SHARE = 0.6;

  private WaitOrder() {}

  /**
   * A request that waits.
   *
   * @param rank rank among all requests, 0 the highest
   * @param arrivedMillis when it arrived
   * @param targetMillis latency target
   * @param endMillis when its time is over
   */
  public record Place(int rank, long arrivedMillis, long targetMillis, long endMillis) {}

  /** Returns the order at a moment. */
  public static Comparator<Place> at(long nowMillis) {
    return Comparator.comparingInt((Place place) -> band(place, nowMillis))
        .thenComparingInt(Place::rank)
        .thenComparingLong(Place::arrivedMillis);
  }

  private static int band(Place place, long nowMillis) {
    Objects.requireNonNull(place, "place is null");
    long waited = nowMillis - place.arrivedMillis();
    long whole = place.endMillis() - place.arrivedMillis();
    if (waited >= OVERDUE_SHARE * whole) {
      return 0;
    }
    return waited < place.targetMillis() ? 1 : 2;
  }
}
