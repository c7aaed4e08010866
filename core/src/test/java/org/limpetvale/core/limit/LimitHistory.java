package org.limpetvale.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Records the requests that reached one upstream and the limit that it named, to check in every
 * sliding window that the fleet kept to the limit.
 *
 * <p>A window of four seconds allows one and a half times the requests of the limit, and five more.
 * Only windows that end three seconds or more after the limit was first named count, and in them
 * only requests of entries that were told of it half a second before.
 */
public final class LimitHistory {
  private static final long WINDOW_MILLIS = 4_000;
  private static final long TOLD_MARGIN_MILLIS = 500;
  private static final long SETTLE_MILLIS = 3_000;
  private static final double TOLERANCE = 1.5;
  private static final double EXTRA_REQUESTS = 5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final double requestsPerSecond;
  private final Map<String, Long> toldAtMillis = new HashMap<>();
  private final List<Arrival> arrivals = new ArrayList<>();

  private record Arrival(String entry, long atMillis) {}

  /**
   * The use of the limit in one window.
   *
   * @param endMillis end of the window, inclusive
   * @param requests number of requests that count
   * @param allowed number of requests that are allowed
   */
  public record Window(long endMillis, long requests, double allowed) {
    /** Returns the requests as a fraction of the allowed ones. */
    public double usedFraction() {
      return requests / allowed;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d requests where %.1f are allowed (%.2f) in the window to %d ms",
          requests,
          allowed,
          usedFraction(),
          endMillis);
    }
  }

  private LimitHistory(double requestsPerSecond) {
    this.requestsPerSecond = requestsPerSecond;
  }

  /** Returns a history of an upstream that names the given limit. */
  public static LimitHistory of(double requestsPerSecond) {
    return new LimitHistory(requestsPerSecond);
  }

  /** Records that an entry was sent a response that names the limit. */
  public void recordTold(String entry, long atMillis) {
    toldAtMillis.merge(entry, atMillis, Math::min);
  }

  /** Records a request that reached the upstream. */
  public void recordArrival(String entry, long atMillis) {
    arrivals.add(new Arrival(entry, atMillis));
  }

  /** Returns the number of entries that were told. */
  public int toldEntries() {
    return toldAtMillis.size();
  }

  /** Returns the number of requests in a period. */
  public long arrivals(long fromMillis, long untilMillis) {
    return arrivals.stream()
        .filter(each -> each.atMillis() >= fromMillis && each.atMillis() < untilMillis)
        .count();
  }

  /** Returns the window that used the largest fraction of what is allowed. */
  public Window worstWindow() {
    double allowed =
        TOLERANCE * requestsPerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND + EXTRA_REQUESTS;
    long firstToldMillis =
        toldAtMillis.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE / 2);
    long[] counted =
        arrivals.stream().filter(this::counts).mapToLong(Arrival::atMillis).sorted().toArray();
    List<Window> windows = new ArrayList<>();
    int first = 0;
    for (int last = 0; last < counted.length; last++) {
      while (counted[first] <= counted[last] - WINDOW_MILLIS) {
        first++;
      }
      // The window slides on until its first request leaves it.
      if (counted[first] + WINDOW_MILLIS - 1 >= firstToldMillis + SETTLE_MILLIS) {
        windows.add(new Window(counted[last], last - first + 1, allowed));
      }
    }
    return windows.stream()
        .max(Comparator.comparingDouble(Window::usedFraction))
        .orElse(new Window(0, 0, allowed));
  }

  private boolean counts(Arrival arrival) {
    Long told = toldAtMillis.get(arrival.entry());
    return told != null && arrival.atMillis() - told >= TOLD_MARGIN_MILLIS;
  }
}
