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

/**
 * The entries that have lately written their rows, as seen on this process's monotonic clock.
 *
 * <p>An entry is silent only for time in which this process could read the rows: nobody can write
 * while the store is away, so what is known of the others stays as it was.
 */
public final class Members {
  private static final long LIVE_MILLIS = 7_000;

  /** Silence after which an entry is gone for good. */
  private static final long REMEMBERED_MILLIS = 20_000;

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

  /**
   * What is known of an entry.
   *
   * @param changedAtMillis when its row was first seen as it is
   * @param silentMillis time in which its row could be read and stayed as it is
   */
  private record Seen(Row row, long changedAtMillis, long silentMillis) {
    /** Returns what is known after another read, with the time that it covers. */
    Seen afterRead(Seen fresh, long coveredMillis) {
      boolean same = fresh.row.version() == row.version();
      return same ? new Seen(row, changedAtMillis, silentMillis + coveredMillis) : fresh;
    }
  }

  private Members(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns members of which none has been seen. */
  public static Members of(TimerService timer) {
    return new Members(timer);
  }

  /** Notes the rows of all entries as read now, by writer. */
  void read(Map<String, Row> rows) {
    long nowMillis = timer.nowMillis();
    long unreadMillis = nowMillis - readAtMillis;
    long coveredMillis = unreadMillis > UNSEEN_MILLIS ? 0 : unreadMillis;
    readOnce = true;
    readAtMillis = nowMillis;
    rows.forEach(
        (name, row) ->
            seen.merge(
                name,
                new Seen(row, nowMillis, 0),
                (old, fresh) -> old.afterRead(fresh, coveredMillis)));
    seen.keySet().retainAll(rows.keySet());
  }

  /** Returns the entries that have written lately. */
  Set<String> live() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    seen.forEach(
        (name, each) -> {
          if (nowMillis - each.changedAtMillis() <= LIVE_MILLIS) {
            live.add(name);
          }
        });
    return live;
  }

  /**
   * Returns the number of other entries whose names come before a name and that were thought to run
   * when the rows were last read.
   */
  int before(String name) {
    return (int)
        seen.entrySet().stream()
            .filter(each -> each.getValue().silentMillis() <= LIVE_MILLIS)
            .filter(each -> each.getKey().compareTo(name) < 0)
            .count();
  }

  /** Tells whether an entry has been silent for so long that its row may go. */
  boolean forgotten(String name) {
    Seen each = seen.get(name);
    return each != null && each.silentMillis() > REMEMBERED_MILLIS;
  }

  /** Returns the addresses of the entries that were seen lately, without one address. */
  public List<InetSocketAddress> addressesBut(InetSocketAddress own) {
    return seen.values().stream()
        .filter(each -> each.silentMillis() <= REMEMBERED_MILLIS)
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
        seen.values().stream().filter(each -> each.silentMillis() <= REMEMBERED_MILLIS).count();
    int sharers = (int) Math.max(1, known);
    return nowMillis - readAtMillis > UNSEEN_MILLIS ? sharers * UNSEEN_FACTOR : sharers;
  }
}
