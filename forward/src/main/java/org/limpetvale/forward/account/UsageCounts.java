package org.limpetvale.forward.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Counts started requests by workspace and by window of the wall-clock time that the fleet agrees
 * on. Must only be used on the event loop.
 */
public final class UsageCounts {
  /** Time after the end of a window from which its counts are final. */
  private static final long CLOSE_DELAY_MILLIS = 400;

  private static final int RETAINED_WINDOWS = 6;

  private final long windowMillis;
  private final LongSupplier clockMillis;
  private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

  private UsageCounts(long windowMillis, LongSupplier clockMillis) {
    this.windowMillis = windowMillis;
    this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis is null");
  }

  /**
   * Returns an instance without counts.
   *
   * @param windowMillis length of a window
   * @param clockMillis supplies the time that the fleet agrees on, in milliseconds since the Unix
   *     epoch
   */
  public static UsageCounts of(long windowMillis, LongSupplier clockMillis) {
    return new UsageCounts(windowMillis, clockMillis);
  }

  /** Counts a request of a workspace that starts to run now. */
  public void requestStarted(String workspace) {
    countsByWindow
        .computeIfAbsent(currentWindow(), window -> new HashMap<>())
        .merge(workspace, 1L, Long::sum);
  }

  /** Returns the length of a window. */
  public long windowMillis() {
    return windowMillis;
  }

  /** Returns the number of the current window. */
  public long currentWindow() {
    return Math.floorDiv(clockMillis.getAsLong(), windowMillis);
  }

  /** Returns the time since the end of a window; negative if it has not ended. */
  public long sinceEndMillis(long window) {
    return clockMillis.getAsLong() - (window + 1) * windowMillis;
  }

  /** Returns the counts of a window so far. */
  public Map<String, Long> counts(long window) {
    return Map.copyOf(countsByWindow.getOrDefault(window, Map.of()));
  }

  /** Returns whether the counts of a window are final. */
  public boolean isClosed(long window) {
    return sinceEndMillis(window) > CLOSE_DELAY_MILLIS;
  }

  /** Returns the newest window whose counts are final. */
  public long closedWindow() {
    long current = currentWindow();
    return isClosed(current - 1) ? current - 1 : current - 2;
  }

  /** Returns the counts of the newest windows, including the current one. */
  public Map<Long, Map<String, Long>> newest(int windows) {
    Map<Long, Map<String, Long>> newest = new HashMap<>();
    countsByWindow
        .tailMap(currentWindow() - windows, false)
        .forEach((window, counts) -> newest.put(window, Map.copyOf(counts)));
    return newest;
  }

  /** Returns the oldest window whose counts are retained. */
  public long oldestWindow() {
    return currentWindow() - RETAINED_WINDOWS;
  }

  /** Removes windows that are too old to be reported. */
  public void removeOldWindows() {
    countsByWindow.headMap(oldestWindow(), false).clear();
  }
}
