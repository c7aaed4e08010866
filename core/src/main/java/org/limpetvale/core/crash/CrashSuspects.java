package org.limpetvale.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Detects requests that crash their upstreams and distinguishes them from requests that happened to
 * run on the same upstream.
 *
 * <p>A request that crashes every upstream it runs on may be retried again and again, at any entry.
 * Each retry takes down another upstream together with all other requests there. A request whose
 * connection was lost becomes a suspect once its upstream is known to have crashed, and is cleared
 * when it is served. Requests are identified by a digest because every attempt has its own id.
 *
 * <p>Times are in milliseconds on a monotonic clock.
 */
public final class CrashSuspects {
  /** Number of crashed upstreams after which a request is blocked. */
  public static final int MAX_CRASHES = 3;

  /**
   * Time after a lost connection within which the crash must be confirmed. An upstream's row
   * expires only after it has missed a few heartbeats.
   */
  private static final long CONFIRMATION_WINDOW_MILLIS = 8_000;

  /** Retention time of crashes and of the fact that a suspect was served. */
  private static final long RETENTION_MILLIS = 60_000;

  /** Maximum number of suspects shared with other entries. */
  private static final int MAX_SHARED_SUSPECTS = 8;

  /** Maximum number of unconfirmed connection losses; the oldest are evicted first. */
  private static final int MAX_PENDING = 512;

  private final Map<ConnectionLoss, Long> pending = new LinkedHashMap<>();
  private final Map<String, LocalCrashes> localCrashes = new LinkedHashMap<>();
  private final Map<String, PeerReport> peerReports = new HashMap<>();

  /** A lost connection whose upstream is not yet known to have crashed. */
  private record ConnectionLoss(String digest, String process) {}

  /** Upstream processes that crashed on a request since it was last served, as seen locally. */
  private record LocalCrashes(Set<String> processes, long atMillis) {}

  /** The crashes reported by another entry; an empty set means that the request was served. */
  private record PeerReport(Map<String, Set<String>> crashes, long atMillis) {
    Set<String> crashesOf(String digest) {
      return crashes.getOrDefault(digest, Set.of());
    }

    /** Returns this report without the crashes of a request that has since been served. */
    PeerReport withoutServed(String digest) {
      if (crashesOf(digest).isEmpty()) {
        return this;
      }
      Map<String, Set<String>> others = new HashMap<>(crashes);
      others.remove(digest);
      return new PeerReport(Map.copyOf(others), atMillis);
    }

    boolean reportsServed(String digest) {
      return crashes.containsKey(digest) && crashesOf(digest).isEmpty();
    }
  }

  private CrashSuspects() {}

  /** Returns an instance without suspects. */
  public static CrashSuspects empty() {
    return new CrashSuspects();
  }

  /**
   * Records that the connection of a running request was lost.
   *
   * @param digest digest of the request
   * @param process upstream process that ran the request
   */
  public void recordConnectionLoss(String digest, String process, long nowMillis) {
    Objects.requireNonNull(digest, "digest is null");
    Objects.requireNonNull(process, "process is null");
    pending.put(new ConnectionLoss(digest, process), nowMillis);
    if (pending.size() > MAX_PENDING) {
      pending.remove(pending.keySet().iterator().next());
    }
  }

  /** Records that an upstream process crashed; requests that it was running become suspects. */
  public void recordCrash(String process, long nowMillis) {
    evictExpired(nowMillis);
    Set<ConnectionLoss> confirmed = new HashSet<>();
    for (ConnectionLoss loss : pending.keySet()) {
      if (loss.process().equals(process)) {
        confirmed.add(loss);
      }
    }
    confirmed.forEach(loss -> addCrash(loss, nowMillis));
    pending.keySet().removeAll(confirmed);
  }

  private void addCrash(ConnectionLoss loss, long nowMillis) {
    LocalCrashes old = localCrashes.remove(loss.digest());
    Set<String> processes = new HashSet<>(old == null ? Set.of() : old.processes());
    processes.add(loss.process());
    localCrashes.put(loss.digest(), new LocalCrashes(processes, nowMillis));
  }

  /** Records that a request was served, which clears it. */
  public void recordSuccess(String digest, long nowMillis) {
    pending.keySet().removeIf(loss -> loss.digest().equals(digest));
    if (localCrashes.containsKey(digest) || isReportedByPeer(digest)) {
      localCrashes.remove(digest);
      localCrashes.put(digest, new LocalCrashes(Set.of(), nowMillis));
      clearPeerReports(digest);
    }
  }

  /**
   * Removes a request's crashes from all peer reports. Peers that are still running report again if
   * they see another crash.
   */
  private void clearPeerReports(String digest) {
    peerReports.replaceAll((peer, report) -> report.withoutServed(digest));
  }

  /**
   * Returns this entry's most recent suspects by digest, each with the upstream processes that
   * crashed on it. The set is empty for requests that have since been served.
   */
  public Map<String, Set<String>> localCrashes(long nowMillis) {
    evictExpired(nowMillis);
    Map<String, Set<String>> shared = new HashMap<>();
    int skip = Math.max(0, localCrashes.size() - MAX_SHARED_SUSPECTS);
    localCrashes.entrySet().stream()
        .skip(skip)
        .forEach(each -> shared.put(each.getKey(), Set.copyOf(each.getValue().processes())));
    return shared;
  }

  /** Replaces the crashes last reported by another entry. */
  public void updatePeerCrashes(String peer, Map<String, Set<String>> crashes, long nowMillis) {
    PeerReport before = peerReports.get(peer);
    crashes.forEach(
        (digest, processes) -> {
          boolean isNew = before == null || !before.reportsServed(digest);
          if (processes.isEmpty() && isNew) {
            localCrashes.remove(digest);
            clearPeerReports(digest);
          }
        });
    if (crashes.isEmpty()) {
      peerReports.remove(peer);
    } else {
      peerReports.put(peer, new PeerReport(Map.copyOf(crashes), nowMillis));
    }
  }

  /**
   * Merges the crashes in another entry's stored row. The row may be older than the entry's last
   * report, or than the information that a request was served.
   */
  public void mergeCrashes(String peer, Map<String, Set<String>> crashes, long nowMillis) {
    Map<String, Set<String>> merged = new HashMap<>(crashes);
    merged.keySet().removeIf(this::isKnownAsServed);
    Optional.ofNullable(peerReports.get(peer))
        .ifPresent(
            report -> report.crashes().forEach((digest, each) -> merge(merged, digest, each)));
    updatePeerCrashes(peer, merged, nowMillis);
  }

  /** Merges crashes of a request; if either side says that it was served, that side wins. */
  private static void merge(
      Map<String, Set<String>> crashes, String digest, Set<String> processes) {
    crashes.merge(
        digest,
        processes,
        (left, right) -> {
          boolean served = left.isEmpty() || right.isEmpty();
          Set<String> union = new HashSet<>(left);
          union.addAll(right);
          return served ? Set.of() : Set.copyOf(union);
        });
  }

  /** Returns whether there are any suspects; if not, callers need not compute digests. */
  public boolean hasSuspects(long nowMillis) {
    evictExpired(nowMillis);
    return !localCrashes.isEmpty() || !peerReports.isEmpty();
  }

  /** Returns the number of upstreams known to have crashed on a request, at any entry. */
  public int crashCount(String digest, long nowMillis) {
    evictExpired(nowMillis);
    Set<String> processes = new HashSet<>();
    if (localCrashes.containsKey(digest)) {
      processes.addAll(localCrashes.get(digest).processes());
    }
    peerReports.values().forEach(report -> processes.addAll(report.crashesOf(digest)));
    return processes.size();
  }

  /** Returns whether a request has reached the crash limit and must not run again. */
  public boolean isBlocked(String digest, long nowMillis) {
    return crashCount(digest, nowMillis) >= MAX_CRASHES;
  }

  private boolean isKnownAsServed(String digest) {
    boolean servedLocally =
        localCrashes.containsKey(digest) && localCrashes.get(digest).processes().isEmpty();
    return servedLocally
        || peerReports.values().stream().anyMatch(report -> report.reportsServed(digest));
  }

  private boolean isReportedByPeer(String digest) {
    return peerReports.values().stream().anyMatch(report -> report.crashes().containsKey(digest));
  }

  private void evictExpired(long nowMillis) {
    pending.values().removeIf(lostMillis -> nowMillis - lostMillis > CONFIRMATION_WINDOW_MILLIS);
    localCrashes.values().removeIf(crashes -> nowMillis - crashes.atMillis() > RETENTION_MILLIS);
    peerReports.values().removeIf(report -> nowMillis - report.atMillis() > RETENTION_MILLIS);
  }
}
