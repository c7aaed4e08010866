package org.limpetvale.core.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The demand for a service over the last while: goes up at once and ahead of a rise, down late.
 *
 * <p>The load that it answers: bursts of seconds in a tide of minutes. An upstream that is stopped
 * in a pause of the bursts is missing in the next one, as a new one takes its time to boot.
 *
 * <p>Demand is a number of requests under way or waiting; times are monotonic, in milliseconds.
 */
public final class DemandWindow {
  /** Time for which a peak is remembered. */
  public static final long WINDOW_MILLIS = 30_000;

  /** Time over which a rise is measured. */
  private static final long RISE_MILLIS = 4_000;

  /** Times that rise is expected again while a new upstream boots. */
  private static final double RISES_AHEAD = 2;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long firstAtMillis = Long.MAX_VALUE;

  private record Sample(long atMillis, double demand) {}

  private DemandWindow() {}

  /** Returns a window without samples. */
  public static DemandWindow empty() {
    return new DemandWindow();
  }

  /** Notes the demand at a moment. */
  public void recordDemand(double demand, long nowMillis) {
    firstAtMillis = Math.min(firstAtMillis, nowMillis);
    samples.addLast(new Sample(nowMillis, demand));
    while (nowMillis - samples.getFirst().atMillis() > WINDOW_MILLIS) {
      samples.removeFirst();
    }
  }

  /** Returns the demand to be ready for: the remembered peak, or what a rise leads to. */
  public double forecast() {
    if (samples.isEmpty()) {
      return 0;
    }
    Sample last = samples.getLast();
    double peak = 0;
    double before = last.demand();
    for (Sample each : samples) {
      peak = Math.max(peak, each.demand());
      if (last.atMillis() - each.atMillis() >= RISE_MILLIS) {
        before = each.demand();
      }
    }
    double rise = Math.max(0, last.demand() - before);
    return Math.max(peak, last.demand() + RISES_AHEAD * rise);
  }

  /** Tells whether the demand has been seen for so long that fewer upstreams may be ordered. */
  public boolean coversFullWindow(long nowMillis) {
    return !samples.isEmpty() && nowMillis - firstAtMillis >= WINDOW_MILLIS;
  }
}
