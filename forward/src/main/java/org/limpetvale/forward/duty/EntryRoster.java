package org.limpetvale.forward.duty;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.peer.PeerReports;

/**
 * The entries that share what belongs to the whole fleet, such as the limit of an upstream. Must
 * only be used on the event loop.
 *
 * <p>It errs on the large side: an entry counts while its row is renewed or its reports arrive, and
 * time in which the store cannot be read counts for nobody as silence.
 */
public final class EntryRoster {
  /** Time after the first read of the rows in which the other entries learn of this one. */
  private static final long SETTLE_MILLIS = 2_000;

  private static final long CACHE_MILLIS = 100;

  private final String self;
  private final Members members;
  private final PeerReports peers;
  private final TimerService timer;
  private List<String> entries = List.of();
  private long computedAtMillis = Long.MIN_VALUE;

  private EntryRoster(String self, Members members, PeerReports peers, TimerService timer) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /**
   * Returns a roster.
   *
   * @param self id of this entry's process
   */
  public static EntryRoster of(
      String self, Members members, PeerReports peers, TimerService timer) {
    return new EntryRoster(self, members, peers, timer);
  }

  /**
   * Returns the ids of the entries, including this one, in order; empty while this entry cannot
   * know the others. Returns the same list until the entries change.
   */
  public List<String> entries() {
    long nowMillis = timer.nowMillis();
    if (computedAtMillis == Long.MIN_VALUE || nowMillis - computedAtMillis >= CACHE_MILLIS) {
      computedAtMillis = nowMillis;
      List<String> current = compute(nowMillis);
      entries = current.equals(entries) ? entries : current;
    }
    return entries;
  }

  private List<String> compute(long nowMillis) {
    boolean settled =
        members.firstReadMillis().stream().anyMatch(first -> nowMillis - first >= SETTLE_MILLIS);
    if (!settled) {
      return List.of();
    }
    Set<String> all = new TreeSet<>(members.active());
    all.addAll(peers.liveEntryIds());
    all.add(self);
    return List.copyOf(all);
  }
}
