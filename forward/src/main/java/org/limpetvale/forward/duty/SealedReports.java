package org.limpetvale.forward.duty;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The sealed usage reports of recent windows that this entry knows of. It remembers them beyond a
 * return of the store from an older copy, in which they may be missing. Must only be used on the
 * event loop.
 *
 * <p>The counts of a window never change once they have been sealed, so the first ones that were
 * read or written are kept.
 */
final class SealedReports {
  private final TreeMap<Long, Known> byWindow = new TreeMap<>();

  /**
   * A report.
   *
   * @param firstEra era of the store in which it was first seen
   * @param era era of the store in which it was last seen
   * @param confirmed whether the store is known to have held it; otherwise the answer to its only
   *     write was lost
   */
  private record Known(FleetRows.ReportRow report, long firstEra, long era, boolean confirmed) {}

  /** Records the reports of a complete page of rows. */
  void learn(List<FleetRows.ReportRow> rows, long era) {
    Set<Long> present = new HashSet<>();
    for (FleetRows.ReportRow row : rows) {
      present.add(row.window());
      byWindow.merge(row.window(), new Known(row, era, era, true), SealedReports::merge);
    }
    byWindow
        .entrySet()
        .removeIf(
            each ->
                each.getValue().confirmed()
                    && each.getValue().era() == era
                    && !present.contains(each.getKey()));
  }

  /**
   * Merges what is known with what was read. A row with other counts was written late by a holder
   * of an earlier era; what is known stays, as lost with its era, so that it is written again.
   */
  private static Known merge(Known known, Known read) {
    if (!known.confirmed()) {
      return read;
    }
    if (!known.report().counts().equals(read.report().counts())) {
      return known;
    }
    boolean accepted = known.report().accepted() || read.report().accepted();
    FleetRows.ReportRow report = read.report().withAccepted(accepted);
    return new Known(report, known.firstEra(), read.era(), true);
  }

  /** Records that the counts of a window were sealed. */
  void sealed(FleetRows.ReportRow report, long era) {
    byWindow.merge(report.window(), new Known(report, era, era, true), SealedReports::merge);
  }

  /** Records that the counts of a window may have been sealed, as the answer was lost. */
  void maybeSealed(FleetRows.ReportRow report, long era) {
    byWindow.putIfAbsent(report.window(), new Known(report, era, era, false));
  }

  /** Records that the platform has accepted the report of a window. */
  void accepted(long window) {
    byWindow.computeIfPresent(
        window,
        (same, known) ->
            new Known(
                known.report().withAccepted(true),
                known.firstEra(),
                known.era(),
                known.confirmed()));
  }

  /** Returns whether the platform is known to have accepted the report of a window. */
  boolean isAccepted(long window) {
    Known known = byWindow.get(window);
    return known != null && known.report().accepted();
  }

  /** Returns whether the store is known to have held the report of a window. */
  boolean isSealed(long window) {
    Known known = byWindow.get(window);
    return known != null && known.confirmed();
  }

  /** Returns whether the report of a window was known before an era of the store began. */
  boolean isKnownBefore(long window, long era) {
    Known known = byWindow.get(window);
    return known != null && known.confirmed() && known.firstEra() < era;
  }

  /** Returns the counts that this entry knows or has tried to seal for a window. */
  Optional<Map<String, Long>> counts(long window) {
    return Optional.ofNullable(byWindow.get(window)).map(known -> known.report().counts());
  }

  /**
   * Returns the reports that an earlier era of the store held and that were not seen since with the
   * same counts.
   */
  List<FleetRows.ReportRow> lostBefore(long era) {
    return byWindow.values().stream()
        .filter(known -> known.confirmed() && known.era() < era)
        .map(Known::report)
        .toList();
  }

  /**
   * Returns the first window behind those whose reports are known; the lowest number if none is.
   */
  long firstUnsealedWindow() {
    return byWindow.isEmpty() ? Long.MIN_VALUE : byWindow.lastKey() + 1;
  }

  /** Forgets the windows before the given one. */
  void removeBefore(long window) {
    byWindow.headMap(window, false).clear();
  }
}
