package org.limpetvale.core.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A sliding window of the demand for a service, with a forecast that rises ahead of demand and
 * falls late.
 *
 * <p>Demand has bursts of seconds within trends of minutes. An upstream stopped between two bursts
 * would be missing in the next one, because a new one takes time to boot.
 *
 * <p>Demand is the number of running and waiting requests; times are monotonic, in milliseconds.
 */
public final class DemandWindow {
  /** Length of the window, and so the time for which a peak counts. */
  public static final long WINDOW_MILLIS = 30_000;

  /** Time over which a rise in demand is measured. */
  private static final long RISE_MILLIS = 4_000;

  /** Number of further rises of the same size expected while a new upstream boots. */
  private static final double PROJECTED_RISES = 2;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long firstAtMillis = Long.MAX_VALUE;

  private record Sample(long atMillis, double demand) {}

  private DemandWindow() {}

  /** Returns an empty window. */
  public static DemandWindow empty() {
    return new DemandWindow();
  }

  /** Records the current demand. */
  public void recordDemand(double demand, long nowMillis) {
    firstAtMillis = Math.min(firstAtMillis, nowMillis);
    samples.addLast(new Sample(nowMillis, demand));
    while (nowMillis - samples.getFirst().atMillis() > WINDOW_MILLIS) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the demand to provision for: the peak in the window or the projected rise, whichever is
   * higher.
   */
  public double forecast() {
    if (samples.isEmpty()) {
      return 0;
    }
    Sample last = samples.getLast();
    double peak = 0;
    double baseline = last.demand();
    for (Sample each : samples) {
      peak = Math.max(peak, each.demand());
      if (last.atMillis() - each.atMillis() >= RISE_MILLIS) {
        baseline = each.demand();
      }
    }
    double rise = Math.max(0, last.demand() - baseline);
    return Math.max(peak, last.demand() + PROJECTED_RISES * rise);
  }

  /**
   * Returns whether demand has been recorded for a full window, so that scaling down is allowed.
   */
  public boolean coversFullWindow(long nowMillis) {
    return !samples.isEmpty() && nowMillis - firstAtMillis >= WINDOW_MILLIS;
  }
}
