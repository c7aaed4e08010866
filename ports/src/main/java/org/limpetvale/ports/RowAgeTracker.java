package org.limpetvale.ports;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.time.TimerService;

/** How long rows have stood unchanged, as seen by this process on its own monotonic clock. */
public final class RowAgeTracker {
  private final TimerService timer;
  private final Map<String, Observation> observations = new ConcurrentHashMap<>();

  private RowAgeTracker(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  private record Observation(long revision, long atMillis) {}

  /** Returns ages of rows that have not been seen yet. */
  public static RowAgeTracker of(TimerService timer) {
    return new RowAgeTracker(timer);
  }

  /**
   * Notes a row as read now.
   *
   * @param row the row
   * @return the time since it was first noted with this revision, in milliseconds
   */
  public long unchangedMillis(Row row) {
    Observation seen =
        observations.compute(
            row.key(),
            (key, old) ->
                old != null && old.revision() == row.revision()
                    ? old
                    : new Observation(row.revision(), timer.nowMillis()));
    return timer.nowMillis() - seen.atMillis();
  }

  /** Forgets a row. */
  public void remove(String key) {
    observations.remove(key);
  }

  /** Forgets the rows that were first noted longer ago than a time, in milliseconds. */
  public void removeOlderThan(long millis) {
    long nowMillis = timer.nowMillis();
    observations.values().removeIf(each -> nowMillis - each.atMillis() > millis);
  }
}
