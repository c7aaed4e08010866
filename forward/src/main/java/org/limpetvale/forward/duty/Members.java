package org.limpetvale.forward.duty;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.retry.AllowanceEntitlement;
import org.limpetvale.core.retry.AllowanceShare;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;

/**
 * Tracks which entries have recently written their rows, on this process's monotonic clock.
 *
 * <p>Only time in which this process could read the rows counts as silence of an entry. No entry
 * can write while the store is unavailable, so an outage leaves the known members unchanged.
 */
public final class Members {
  private static final long LIVENESS_TIMEOUT_MILLIS = 7_000;

  /**
   * Time without a read after which the fleet may have grown unnoticed. It is longer than the read
   * interval of an entry that reads once per usage window.
   */
  private static final long MAX_READ_GAP_MILLIS = 7_000;

  private final TimerService timer;
  private final Map<String, Observation> observations = new HashMap<>();
  private final long retentionMillis;
  private AllowanceEntitlement claim;
  private long readAtMillis;
  private OptionalLong firstReadMillis = OptionalLong.empty();

  /**
   * An entry's row.
   *
   * @param version version of the row
   * @param address address on which the entry receives peer reports; empty when it has left or the
   *     row is unreadable
   * @param suspects what the entry knows of requests and prompt parts that may crash upstreams
   */
  record Row(
      StoreVersion version, Optional<InetSocketAddress> address, Map<String, PartReport> suspects) {
    Row {
      Objects.requireNonNull(version, "version is null");
      Objects.requireNonNull(address, "address is null");
      suspects = Map.copyOf(suspects);
    }

    /** Returns a row of which only the version is known. */
    static Row unreadable(StoreVersion version) {
      return new Row(version, Optional.empty(), Map.of());
    }

    boolean hasLeft() {
      return address.isEmpty();
    }
  }

  /**
   * The last row read for an entry and how long it has been unchanged.
   *
   * @param changedAtMillis when this version of the row was first read
   * @param silentMillis time for which the row could be read and did not change
   */
  private record Observation(Row row, long changedAtMillis, long silentMillis) {
    /** Returns the observation after another read, which covers the given time. */
    Observation afterRead(Observation latest, long coveredMillis) {
      if (row.version().isOfEarlierEraThan(latest.row.version())) {
        return withCopied(latest.row).silentFor(coveredMillis);
      }
      boolean same = latest.row.version().equals(row.version());
      return same ? silentFor(coveredMillis) : latest;
    }

    /**
     * Returns the observation with the row of an older copy, which is no sign of life. An entry
     * that has left stays so.
     */
    private Observation withCopied(Row copied) {
      Row known = new Row(copied.version(), row.address(), row.suspects());
      return new Observation(row.hasLeft() ? known : copied, changedAtMillis, silentMillis);
    }

    /** Returns the observation after a read that shows no change and covers the given time. */
    Observation silentFor(long coveredMillis) {
      return new Observation(row, changedAtMillis, silentMillis + coveredMillis);
    }
  }

  private Members(long retryWindowMillis, TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.claim = AllowanceEntitlement.of(retryWindowMillis);
    this.retentionMillis = AllowanceEntitlement.rowRetentionMillis(retryWindowMillis);
  }

  /**
   * Creates a tracker that has not read any rows.
   *
   * @param retryWindowMillis length of the window of the shared retry budget
   */
  public static Members of(long retryWindowMillis, TimerService timer) {
    return new Members(retryWindowMillis, timer);
  }

  /**
   * Records that a write of this entry's own row has just been confirmed.
   *
   * @param sent when the write was sent
   */
  void recordRenewal(Moment sent) {
    claim = claim.afterRenewal(sent, Moment.now(timer));
  }

  /**
   * Records the rows of all entries, as just read.
   *
   * @param rows the rows, by writer
   * @param storeVersion version of the store that they were read from
   * @param sent when the read was sent
   * @return the rows that are new or have changed
   */
  Map<String, Row> recordRead(Map<String, Row> rows, StoreVersion storeVersion, Moment sent) {
    long nowMillis = timer.nowMillis();
    long unreadMillis = nowMillis - readAtMillis;
    long coveredMillis = unreadMillis > MAX_READ_GAP_MILLIS ? 0 : unreadMillis;
    Map<String, Row> changed = new HashMap<>(rows);
    observations.forEach((name, observation) -> changed.remove(name, observation.row()));
    readAtMillis = nowMillis;
    firstReadMillis = OptionalLong.of(firstReadMillis.orElse(nowMillis));
    rows.forEach(
        (name, row) ->
            observations.merge(
                name,
                new Observation(row, nowMillis, 0),
                (old, latest) -> old.afterRead(latest, coveredMillis)));
    observations
        .entrySet()
        .removeIf(
            each -> !rows.containsKey(each.getKey()) && isGone(each.getValue(), storeVersion));
    observations.replaceAll(
        (name, each) -> rows.containsKey(name) ? each : each.silentFor(coveredMillis));
    claim = claim.afterRead(sent, sharers());
    return changed;
  }

  /**
   * Returns whether the missing row of an entry means that the entry is forgotten. A store that has
   * come back from an older copy may lack the row of a running entry until that writes it again.
   */
  private boolean isGone(Observation each, StoreVersion storeVersion) {
    boolean mayBeLost = each.row().version().isOfEarlierEraThan(storeVersion);
    return !mayBeLost || each.silentMillis() > retentionMillis;
  }

  /** Returns the entries that have recently written their rows and have not left. */
  Set<String> live() {
    long nowMillis = timer.nowMillis();
    Set<String> live = new HashSet<>();
    observations.forEach(
        (name, each) -> {
          boolean recentlyChanged = nowMillis - each.changedAtMillis() <= LIVENESS_TIMEOUT_MILLIS;
          if (recentlyChanged && !each.row().hasLeft()) {
            live.add(name);
          }
        });
    return live;
  }

  /** Returns the monotonic time of the first read of the rows; empty before it. */
  OptionalLong firstReadMillis() {
    return firstReadMillis;
  }

  /**
   * Returns the entries that have not left and have not been silent for long while the rows could
   * be read.
   */
  Set<String> active() {
    Set<String> active = new HashSet<>();
    observations.forEach(
        (name, each) -> {
          if (each.silentMillis() <= LIVENESS_TIMEOUT_MILLIS && !each.row().hasLeft()) {
            active.add(name);
          }
        });
    return active;
  }

  /**
   * Returns the number of entries that sort before a name and were considered live at the last
   * read.
   */
  int countBefore(String name) {
    return (int) active().stream().filter(each -> each.compareTo(name) < 0).count();
  }

  /** Decides whether an entry has been silent for so long that its row may be removed. */
  boolean isForgotten(String name) {
    Observation each = observations.get(name);
    return each != null && each.silentMillis() > retentionMillis;
  }

  /** Returns the addresses of the entries that are not forgotten, except this entry's own. */
  public List<InetSocketAddress> addressesExcept(InetSocketAddress own) {
    return observations.values().stream()
        .filter(each -> each.silentMillis() <= retentionMillis)
        .flatMap(each -> each.row().address().stream())
        .filter(address -> !address.equals(own))
        .distinct()
        .toList();
  }

  /** Returns this entry's current share of the fleet's retry allowance. */
  public AllowanceShare share() {
    return claim.share(Moment.now(timer));
  }

  /** Returns the number of entries that may recently have used a share of the retry allowance. */
  int sharers() {
    return (int)
        observations.values().stream()
            .filter(each -> each.silentMillis() <= retentionMillis)
            .count();
  }
}
