package org.limpetvale.forward.duty;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.retry.AllowanceEntitlement;
import org.limpetvale.core.retry.AllowanceShare;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;

/**
 * The entries that have lately written their rows, as seen on this process's monotonic clock.
 *
 * <p>An entry is silent only for time in which this process could read the rows: nobody can write
 * while the store is away, so what is known of the others stays as it was.
 */
public final class Members {
  private static final long LIVE_MILLIS = 7_000;

  /**
   * Time without a read after which the fleet may have grown unseen; longer than between two reads
   * of an entry that reads once in a usage window.
   */
  private static final long UNSEEN_MILLIS = 7_000;

  private final TimerService timer;
  private final Map<String, Seen> seen = new HashMap<>();
  private final long rememberedMillis;
  private AllowanceEntitlement claim;
  private long readAtMillis;

  /**
   * An entry's row.
   *
   * @param version version of the row
   * @param address where the entry takes reports of others; empty when it has left
   * @param crashes upstream processes that the entry saw crash on a request, by its digest
   */
  record Row(long version, Optional<InetSocketAddress> address, Map<String, Set<String>> crashes) {
    Row {
      Objects.requireNonNull(address, "address is null");
      crashes = Map.copyOf(crashes);
    }

    boolean hasLeft() {
      return address.isEmpty();
    }
  }

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

  private Members(long retryWindowMillis, TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.claim = AllowanceEntitlement.of(retryWindowMillis);
    this.rememberedMillis = AllowanceEntitlement.rowRetentionMillis(retryWindowMillis);
  }

  /**
   * Returns members of which none has been seen.
   *
   * @param retryWindowMillis window of the retry budget that the entries share
   */
  public static Members of(long retryWindowMillis, TimerService timer) {
    return new Members(retryWindowMillis, timer);
  }

  /** Notes that a write of this entry's own row was confirmed now. */
  void recordRenewal(Moment sent) {
    claim = claim.afterRenewal(sent, Moment.now(timer));
  }

  /**
   * Notes the rows of all entries as read now, by writer.
   *
   * @param sent when they were asked for
   * @return the rows that are new or have changed
   */
  Map<String, Row> recordRead(Map<String, Row> rows, Moment sent) {
    long nowMillis = timer.nowMillis();
    long unreadMillis = nowMillis - readAtMillis;
    long coveredMillis = unreadMillis > UNSEEN_MILLIS ? 0 : unreadMillis;
    Map<String, Row> changed = new HashMap<>(rows);
    seen.forEach((name, known) -> changed.remove(name, known.row()));
    readAtMillis = nowMillis;
    rows.forEach(
        (name, row) ->
            seen.merge(
                name,
                new Seen(row, nowMillis, 0),
                (old, fresh) -> old.afterRead(fresh, coveredMillis)));
    seen.keySet().retainAll(rows.keySet());
    claim = claim.afterRead(sent, sharers());
    return changed;
  }

  /** Returns the entries that have written lately. */
  Set<String> live() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    seen.forEach(
        (name, each) -> {
          boolean lately = nowMillis - each.changedAtMillis() <= LIVE_MILLIS;
          if (lately && !each.row().hasLeft()) {
            live.add(name);
          }
        });
    return live;
  }

  /**
   * Returns the number of other entries whose names come before a name and that were thought to run
   * when the rows were last read.
   */
  int countBefore(String name) {
    return (int)
        seen.entrySet().stream()
            .filter(each -> each.getValue().silentMillis() <= LIVE_MILLIS)
            .filter(each -> !each.getValue().row().hasLeft())
            .filter(each -> each.getKey().compareTo(name) < 0)
            .count();
  }

  /** Tells whether an entry has been silent for so long that its row may go. */
  boolean isForgotten(String name) {
    Seen each = seen.get(name);
    return each != null && each.silentMillis() > rememberedMillis;
  }

  /** Returns the addresses of the entries that were seen lately, without one address. */
  public List<InetSocketAddress> addressesExcept(InetSocketAddress own) {
    return seen.values().stream()
        .filter(each -> each.silentMillis() <= rememberedMillis)
        .flatMap(each -> each.row().address().stream())
        .filter(address -> !address.equals(own))
        .distinct()
        .toList();
  }

  /** Returns this entry's part of what the fleet shares as of now. */
  public AllowanceShare share() {
    return claim.share(Moment.now(timer));
  }

  /** Returns the number of entries that may have used a part of what the fleet shares lately. */
  int sharers() {
    return (int)
        seen.values().stream().filter(each -> each.silentMillis() <= rememberedMillis).count();
  }
}
