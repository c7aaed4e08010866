package org.limpetvale.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Tells requests that crash their upstreams from those that ran beside them.
 *
 * <p>The load that it answers: a request that crashes each upstream that runs it comes again and
 * again, at any entry, and takes an upstream and all that runs there with it each time. A request
 * whose connection was lost is a suspect once its upstream is known to have crashed. One that has
 * been served since is none. Requests are known by a digest, as each of their attempts has an id of
 * its own.
 *
 * <p>Times are monotonic, in milliseconds.
 */
public final class CrashSuspects {
  /** Crashes after which a request is not run again. */
  public static final int MAX_CRASHES = 3;

  /** Time in which a crash must be confirmed: an upstream's row stands for a few heartbeats. */
  private static final long CONFIRM_MILLIS = 8_000;

  /** Time for which crashes, and the news that a suspect was served, are remembered. */
  private static final long KEPT_MILLIS = 60_000;

  /** Suspects that are told to other entries. */
  private static final int MOST_TOLD = 8;

  /** Requests that wait for a confirmation; the oldest go first. */
  private static final int MOST_PENDING = 512;

  private final Map<Loss, Long> pending = new LinkedHashMap<>();
  private final Map<String, Entry> own = new LinkedHashMap<>();
  private final Map<String, Told> toldBy = new HashMap<>();

  private record Loss(String digest, String process) {}

  /** Crashes of one request that this entry has seen since it was last served. */
  private record Entry(Set<String> processes, long atMillis) {}

  private record Told(Map<String, Set<String>> crashes, long atMillis) {
    Set<String> of(String digest) {
      return crashes.getOrDefault(digest, Set.of());
    }

    /** Returns it without the crashes of a request that has been served since. */
    Told afterServed(String digest) {
      if (of(digest).isEmpty()) {
        return this;
      }
      Map<String, Set<String>> others = new HashMap<>(crashes);
      others.remove(digest);
      return new Told(Map.copyOf(others), atMillis);
    }

    boolean saysServed(String digest) {
      return crashes.containsKey(digest) && of(digest).isEmpty();
    }
  }

  private CrashSuspects() {}

  /** Returns a book without suspects. */
  public static CrashSuspects empty() {
    return new CrashSuspects();
  }

  // -- what this entry sees

  /**
   * Notes that the connection of a running request was lost.
   *
   * @param digest the request
   * @param process the upstream process that ran it
   */
  public void recordConnectionLoss(String digest, String process, long nowMillis) {
    Objects.requireNonNull(digest, "digest is null");
    Objects.requireNonNull(process, "process is null");
    pending.put(new Loss(digest, process), nowMillis);
    if (pending.size() > MOST_PENDING) {
      pending.remove(pending.keySet().iterator().next());
    }
  }

  /** Notes that an upstream process is gone; what it last ran becomes suspect. */
  public void recordCrash(String process, long nowMillis) {
    forgetOld(nowMillis);
    Set<Loss> confirmed = new HashSet<>();
    for (Loss loss : pending.keySet()) {
      if (loss.process().equals(process)) {
        confirmed.add(loss);
      }
    }
    confirmed.forEach(loss -> strike(loss, nowMillis));
    pending.keySet().removeAll(confirmed);
  }

  private void strike(Loss loss, long nowMillis) {
    Entry old = own.remove(loss.digest());
    Set<String> processes = new HashSet<>(old == null ? Set.of() : old.processes());
    processes.add(loss.process());
    own.put(loss.digest(), new Entry(processes, nowMillis));
  }

  /** Notes that a request was served, so that it is no suspect any more. */
  public void recordSuccess(String digest, long nowMillis) {
    pending.keySet().removeIf(loss -> loss.digest().equals(digest));
    if (own.containsKey(digest) || isTold(digest)) {
      own.remove(digest);
      own.put(digest, new Entry(Set.of(), nowMillis));
      forgetTold(digest);
    }
  }

  /** Forgets what others told before; those that still run and see another crash tell it anew. */
  private void forgetTold(String digest) {
    toldBy.replaceAll((peer, told) -> told.afterServed(digest));
  }

  // -- what entries tell each other

  /**
   * Returns this entry's newest suspects by digest, each with the upstream processes that crashed
   * on it; none for those served since.
   */
  public Map<String, Set<String>> localCrashes(long nowMillis) {
    forgetOld(nowMillis);
    Map<String, Set<String>> told = new HashMap<>();
    int skip = Math.max(0, own.size() - MOST_TOLD);
    own.entrySet().stream()
        .skip(skip)
        .forEach(each -> told.put(each.getKey(), Set.copyOf(each.getValue().processes())));
    return told;
  }

  /** Notes what another entry tells of its suspects. */
  public void updatePeerCrashes(String peer, Map<String, Set<String>> crashes, long nowMillis) {
    Told before = toldBy.get(peer);
    crashes.forEach(
        (digest, processes) -> {
          boolean news = before == null || !before.saysServed(digest);
          if (processes.isEmpty() && news) {
            own.remove(digest);
            forgetTold(digest);
          }
        });
    if (crashes.isEmpty()) {
      toldBy.remove(peer);
    } else {
      toldBy.put(peer, new Told(Map.copyOf(crashes), nowMillis));
    }
  }

  /**
   * Adds what an entry's row tells, which may be older than what the entry itself told last, or
   * than the news that a request was served.
   */
  public void mergeCrashes(String peer, Map<String, Set<String>> crashes, long nowMillis) {
    Map<String, Set<String>> both = new HashMap<>(crashes);
    both.keySet().removeIf(this::isKnownAsServed);
    Optional.ofNullable(toldBy.get(peer))
        .ifPresent(told -> told.crashes().forEach((digest, each) -> merge(both, digest, each)));
    updatePeerCrashes(peer, both, nowMillis);
  }

  /** Merges crashes into others; a side on which the request was served since holds. */
  private static void merge(
      Map<String, Set<String>> crashes, String digest, Set<String> processes) {
    crashes.merge(
        digest,
        processes,
        (one, other) -> {
          boolean served = one.isEmpty() || other.isEmpty();
          Set<String> union = new HashSet<>(one);
          union.addAll(other);
          return served ? Set.of() : Set.copyOf(union);
        });
  }

  // -- judgement

  /** Tells whether any request is suspect, so that digests matter. */
  public boolean hasSuspects(long nowMillis) {
    forgetOld(nowMillis);
    return !own.isEmpty() || !toldBy.isEmpty();
  }

  /** Returns how many upstreams are known to have crashed on a request, whoever saw them. */
  public int crashCount(String digest, long nowMillis) {
    forgetOld(nowMillis);
    Set<String> processes = new HashSet<>();
    if (own.containsKey(digest)) {
      processes.addAll(own.get(digest).processes());
    }
    toldBy.values().forEach(told -> processes.addAll(told.of(digest)));
    return processes.size();
  }

  /** Tells whether a request is not run again. */
  public boolean isBlocked(String digest, long nowMillis) {
    return crashCount(digest, nowMillis) >= MAX_CRASHES;
  }

  private boolean isKnownAsServed(String digest) {
    boolean here = own.containsKey(digest) && own.get(digest).processes().isEmpty();
    return here || toldBy.values().stream().anyMatch(told -> told.saysServed(digest));
  }

  private boolean isTold(String digest) {
    return toldBy.values().stream().anyMatch(told -> told.crashes().containsKey(digest));
  }

  private void forgetOld(long nowMillis) {
    pending.values().removeIf(at -> nowMillis - at > CONFIRM_MILLIS);
    own.values().removeIf(entry -> nowMillis - entry.atMillis() > KEPT_MILLIS);
    toldBy.values().removeIf(told -> nowMillis - told.atMillis() > KEPT_MILLIS);
  }
}
