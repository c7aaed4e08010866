package org.limpetvale.ports;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.time.TimerService;

/** Tracks how long rows have been unchanged, by the monotonic clock of this process. */
public final class RowAgeTracker {
  private final TimerService timer;
  private final Map<String, Observation> observations = new ConcurrentHashMap<>();

  private RowAgeTracker(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  private record Observation(long revision, long atMillis) {}

  /** Returns a tracker without any rows. */
  public static RowAgeTracker of(TimerService timer) {
    return new RowAgeTracker(timer);
  }

  /**
   * Records that a row has just been read.
   *
   * @param row the row
   * @return the time since the row was first read with this revision, in milliseconds
   */
  public long unchangedMillis(Row row) {
    Observation observation =
        observations.compute(
            row.key(),
            (key, old) ->
                old != null && old.revision() == row.revision()
                    ? old
                    : new Observation(row.revision(), timer.nowMillis()));
    return timer.nowMillis() - observation.atMillis();
  }

  /** Removes a row from the tracker. */
  public void remove(String key) {
    observations.remove(key);
  }

  /** Removes the rows whose current revision was first read longer ago than the given time. */
  public void removeOlderThan(long ageMillis) {
    long nowMillis = timer.nowMillis();
    observations.values().removeIf(each -> nowMillis - each.atMillis() > ageMillis);
  }
}
