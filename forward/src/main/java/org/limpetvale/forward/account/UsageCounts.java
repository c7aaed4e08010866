package org.limpetvale.forward.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Requests that began to run, by window of true time and workspace; for the event loop only. */
public final class UsageCounts {
  /** Time after the end of a window after which its counts do not grow any more. */
  private static final long CLOSED_AFTER_MILLIS = 400;

  private static final int WINDOWS_KEPT = 6;

  private final long windowMillis;
  private final LongSupplier trueMillis;
  private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

  private UsageCounts(long windowMillis, LongSupplier trueMillis) {
    this.windowMillis = windowMillis;
    this.trueMillis = Objects.requireNonNull(trueMillis, "trueMillis is null");
  }

  /**
   * Returns counts without requests.
   *
   * @param windowMillis length of a window
   * @param trueMillis the time of day in milliseconds since the epoch
   */
  public static UsageCounts of(long windowMillis, LongSupplier trueMillis) {
    return new UsageCounts(windowMillis, trueMillis);
  }

  /** Notes a request of a workspace that began to run now. */
  public void requestStarted(String workspace) {
    countsByWindow
        .computeIfAbsent(currentWindow(), window -> new HashMap<>())
        .merge(workspace, 1L, Long::sum);
  }

  /** Returns the number of the window that is open now. */
  public long currentWindow() {
    return Math.floorDiv(trueMillis.getAsLong(), windowMillis);
  }

  /** Returns the time since the end of a window; negative before its end. */
  public long sinceEndMillis(long window) {
    return trueMillis.getAsLong() - (window + 1) * windowMillis;
  }

  /** Returns the counts of a window so far. */
  public Map<String, Long> counts(long window) {
    return Map.copyOf(countsByWindow.getOrDefault(window, Map.of()));
  }

  /** Tells whether the counts of a window do not grow any more. */
  public boolean isClosed(long window) {
    return sinceEndMillis(window) > CLOSED_AFTER_MILLIS;
  }

  /** Returns the newest window whose counts do not grow any more. */
  public long closedWindow() {
    long current = currentWindow();
    return isClosed(current - 1) ? current - 1 : current - 2;
  }

  /** Returns the counts of the newest windows. */
  public Map<Long, Map<String, Long>> newest(int windows) {
    Map<Long, Map<String, Long>> newest = new HashMap<>();
    countsByWindow
        .tailMap(currentWindow() - windows, false)
        .forEach((window, counts) -> newest.put(window, Map.copyOf(counts)));
    return newest;
  }

  /** Forgets windows that have been reported long ago. */
  public void removeOldWindows() {
    countsByWindow.headMap(currentWindow() - WINDOWS_KEPT, false).clear();
  }
}
