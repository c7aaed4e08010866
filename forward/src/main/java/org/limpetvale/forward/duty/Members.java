package org.limpetvale.forward.duty;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.retry.AllowanceShare;
import org.limpetvale.core.time.TimerService;

/** The entries that have lately written their rows, as seen on this process's monotonic clock. */
public final class Members {
  private static final long LIVE_MILLIS = 7_000;

  /** Time for which an entry counts as a sharer of the retry budget after its last row. */
  private static final long SHARING_MILLIS = 20_000;

  /**
   * Time without a read after which the fleet may have grown unseen; longer than between two reads
   * of an entry that reads once in a usage window.
   */
  private static final long UNSEEN_MILLIS = 7_000;

  private static final int ASSUMED_BEFORE_FIRST_READ = 64;
  private static final int UNSEEN_FACTOR = 2;

  private final TimerService timer;
  private final Map<String, Seen> seen = new HashMap<>();
  private boolean readOnce;
  private long readAtMillis;

  /**
   * An entry's row.
   *
   * @param version version of the row
   * @param address where the entry takes reports of others
   */
  record Row(long version, Optional<InetSocketAddress> address) {}

  private record Seen(Row row, long atMillis) {}

  private Members(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns members of which none has been seen. */
  public static Members of(TimerService timer) {
    return new Members(timer);
  }

  /** Notes the rows of all entries as read now, by writer. */
  void read(Map<String, Row> rows) {
    readOnce = true;
    readAtMillis = timer.nowMillis();
    rows.forEach(
        (name, row) ->
            seen.compute(
                name,
                (key, old) ->
                    old != null && old.row().version() == row.version()
                        ? old
                        : new Seen(row, readAtMillis)));
    seen.keySet().retainAll(rows.keySet());
  }

  /** Returns the entries that are thought to run. */
  Set<String> live() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    seen.forEach(
        (name, each) -> {
          if (nowMillis - each.atMillis() <= LIVE_MILLIS) {
            live.add(name);
          }
        });
    return live;
  }

  /** Returns the number of other entries thought to run whose names come before a name. */
  int before(String name) {
    return (int) live().stream().filter(each -> each.compareTo(name) < 0).count();
  }

  /** Tells whether an entry has been silent for so long that its row may go. */
  boolean forgotten(String name) {
    Seen each = seen.get(name);
    return each != null && timer.nowMillis() - each.atMillis() > SHARING_MILLIS;
  }

  /** Returns the addresses of the entries that were seen lately, without one address. */
  public List<InetSocketAddress> addressesBut(InetSocketAddress own) {
    long nowMillis = timer.nowMillis();
    return seen.values().stream()
        .filter(each -> nowMillis - each.atMillis() <= SHARING_MILLIS)
        .flatMap(each -> each.row().address().stream())
        .filter(address -> !address.equals(own))
        .distinct()
        .toList();
  }

  /** Returns this entry's part of what the fleet shares, rather too small than too large. */
  public AllowanceShare share() {
    return AllowanceShare.even(sharers(), readOnce ? timer.nowMillis() - readAtMillis : -1);
  }

  /**
   * Returns the number of entries that may share the retry budget, rather too many than too few.
   */
  int sharers() {
    if (!readOnce) {
      return ASSUMED_BEFORE_FIRST_READ;
    }
    long nowMillis = timer.nowMillis();
    long known =
        seen.values().stream()
            .filter(each -> nowMillis - each.atMillis() <= SHARING_MILLIS)
            .count();
    int sharers = (int) Math.max(1, known);
    return nowMillis - readAtMillis > UNSEEN_MILLIS ? sharers * UNSEEN_FACTOR : sharers;
  }
}
