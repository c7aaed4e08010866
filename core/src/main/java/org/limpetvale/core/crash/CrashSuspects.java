package org.limpetvale.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Finds requests, and prompt parts of requests, that crash every upstream which begins to answer
 * them, and tells them from those that ran on the same upstreams.
 *
 * <p>A whole request is treated as one more of its parts, the last one, with a {@link RequestKey}:
 * it is what all attempts at it have in common.
 *
 * <p>Evidence against a part is the set of upstream processes that crashed while they ran a request
 * with it; a complete answer to a request with the part clears it for good. A refused connection
 * counts as a crash only until the process is found alive. Entries share their evidence.
 *
 * <p>Times are in milliseconds on a monotonic clock.
 */
public final class CrashSuspects {
  /** Time after a lost connection within which the crash must be confirmed. */
  private static final long CONFIRMATION_WINDOW_MILLIS = 8_000;

  /** Retention of evidence that does not suffice to block a part. */
  private static final long SUSPECT_RETENTION_MILLIS = 60_000;

  /** Retention of a block after the last crash or refusal of a request with the part. */
  private static final long BLOCK_RETENTION_MILLIS = 900_000;

  /** Time after the first complete answer in which an entry cannot tell new parts from others. */
  private static final long WARM_UP_MILLIS = 10_000;

  /** Ended processes under a request, one after the other, after which its block is settled. */
  private static final int SETTLING_CRASHES = 3;

  /** Time for which an answer that cleared a part is reported; it spans several reports. */
  private static final long CLEARANCE_REPORT_MILLIS = 3_000;

  /** Maximum age of a decision while there is evidence. */
  private static final long MAX_DECISION_AGE_MILLIS = 100;

  private static final int MAX_PENDING_PARTS = 8_192;
  private static final int MAX_SUSPECTS = 2_048;
  private static final int MAX_SERVED_PARTS = 8_192;
  private static final int MAX_CLEARANCES = 256;
  private static final int MAX_PEERS = 1_024;
  private static final int MAX_CLEARED = 2_048;
  private static final int MAX_CLEARED_PROCESSES = 64;

  // Every report repeats what is shared, so it has to fit beside the rest of a report.
  private static final int MAX_REPORTED_SUSPECTS = 12;
  private static final int MAX_REPORTED_CRASHES = 12;
  private static final int MAX_REPORTED_SERVED = 12;

  private final Deque<Loss> pending = new ArrayDeque<>();
  private int pendingParts;
  private final BoundedMap<LocalPartEvidence> local = BoundedMap.of(MAX_SUSPECTS);
  private final BoundedMap<PeerPartEvidence> peers = BoundedMap.of(MAX_PEERS);

  /** Parts of completely answered requests, with the time of the last answer. */
  private final BoundedMap<Long> servedMillis = BoundedMap.of(MAX_SERVED_PARTS);

  /** The last answers to requests with parts that were suspected then. */
  private final BoundedMap<Clearance> clearances = BoundedMap.of(MAX_CLEARANCES);

  /** When the first loss of a request with a part became known. */
  private final BoundedMap<Long> knownMillis = BoundedMap.of(MAX_SUSPECTS);

  /** Processes whose crashes an answer has cleared, by part. A process crashes only once. */
  private final BoundedMap<Set<String>> clearedProcesses = BoundedMap.of(MAX_CLEARED);

  private final ProcessWatch processes = new ProcessWatch();
  private final List<PartBlock> changes = new ArrayList<>();
  private Map<String, PartCandidate> blocked = Map.of();
  private final Map<String, PartTrials> trials = new HashMap<>();
  private long clearanceCount;
  private long firstServedMillis = Long.MAX_VALUE;
  private long decidedMillis = Long.MIN_VALUE;

  /** A lost request whose upstream is not yet known to have crashed. */
  private record Loss(List<LostPart> parts, String process, String request, long atMillis) {
    boolean contains(String part) {
      return parts.stream().anyMatch(each -> each.part().equals(part));
    }

    /** Returns the loss without a part that was answered since. */
    Loss without(String part) {
      List<LostPart> others = parts.stream().filter(each -> !each.part().equals(part)).toList();
      return others.size() == parts.size() ? this : new Loss(others, process, request, atMillis);
    }
  }

  /** An answer that cleared a part, with a number that rises with each. */
  private record Clearance(long number, long atMillis) {}

  private record LostPart(String part, int depth, boolean sentAfterLoss) {}

  private CrashSuspects() {}

  /** Returns an instance without suspects. */
  public static CrashSuspects empty() {
    return new CrashSuspects();
  }

  /**
   * Records that the connection of a running request was lost.
   *
   * @param parts parts of its prompt that other requests may contain, in order, and the request
   * @param process short id of the upstream process
   * @param request short digest of the request
   * @param sentMillis when it was sent to the upstream
   */
  public void recordLoss(
      List<String> parts, String process, String request, long sentMillis, long nowMillis) {
    Objects.requireNonNull(process, "process is null");
    Objects.requireNonNull(request, "request is null");
    List<LostPart> lost = new ArrayList<>();
    for (int depth = 0; depth < parts.size(); depth++) {
      lost.add(
          new LostPart(parts.get(depth), depth, isSentAfterLoss(parts.get(depth), sentMillis)));
      knownMillis.putIfAbsent(parts.get(depth), nowMillis);
      Optional.ofNullable(trials.get(parts.get(depth)))
          .ifPresent(trial -> trial.requestLost(nowMillis));
    }
    addPending(new Loss(lost, process, request, nowMillis));
  }

  /**
   * Records a whole answer that ended with its connection, as a crash may have closed it. Until the
   * crash is confirmed it says nothing about the parts of the prompt.
   */
  public void recordUnprovenAnswer(
      List<String> parts, String process, String request, long sentMillis, long nowMillis) {
    List<LostPart> answered = new ArrayList<>();
    for (int depth = 0; depth < parts.size(); depth++) {
      answered.add(
          new LostPart(parts.get(depth), depth, isSentAfterLoss(parts.get(depth), sentMillis)));
    }
    addPending(new Loss(answered, process, request, nowMillis));
  }

  private boolean isSentAfterLoss(String part, long sentMillis) {
    return knownMillis.containsKey(part) && sentMillis > knownMillis.get(part);
  }

  private void addPending(Loss loss) {
    if (loss.parts().isEmpty()) {
      return;
    }
    processes.connectionLost(loss.process(), loss.atMillis());
    pending.addLast(loss);
    pendingParts += loss.parts().size();
    while (pendingParts > MAX_PENDING_PARTS && pending.size() > 1) {
      pendingParts -= pending.removeFirst().parts().size();
    }
  }

  /** Returns whether a process is known to have lost a request that may have crashed it. */
  public boolean awaitsConfirmation(String process) {
    return pending.stream().anyMatch(loss -> loss.process().equals(process));
  }

  /**
   * Records the upstream processes that are described now.
   *
   * @return those that have ended since the last call
   */
  public Set<String> updateRunning(Set<String> running) {
    expireDecision();
    return processes.setRunning(running);
  }

  /**
   * Records a read of the upstreams' descriptions. Evidence against processes that are thereby
   * known to be alive is dropped.
   *
   * @param sentMillis when the reading call was sent
   * @param heartbeats processes that have written their description since the read before
   * @return the processes that have lost requests and are alive
   */
  public Set<String> recordHeartbeats(long sentMillis, Collection<String> heartbeats) {
    if (processes.isIdle()) {
      return Set.of();
    }
    Set<String> alive = processes.recordRead(sentMillis, heartbeats);
    alive.forEach(this::dropEvidence);
    return alive;
  }

  private void dropEvidence(String process) {
    removePending(loss -> loss.process().equals(process));
    local.replaceAll((part, evidence) -> evidence.without(process));
    local.values().removeIf(evidence -> evidence.crashes().isEmpty());
    peers.replaceAll((peer, evidence) -> evidence.withoutProcess(process));
    expireDecision();
  }

  private void removePending(Predicate<Loss> obsolete) {
    pending.removeIf(obsolete);
    pendingParts = pending.stream().mapToInt(loss -> loss.parts().size()).sum();
  }

  /**
   * Records that an upstream process has probably crashed, which counts against its lost requests.
   *
   * @return the number of crashes now known by part, of those parts that have one more
   */
  public Map<String, Integer> recordCrash(String process, long nowMillis) {
    evictExpired(nowMillis);
    Set<String> confirmed = new HashSet<>();
    for (Loss loss : pending) {
      if (loss.process().equals(process)) {
        for (LostPart lost : loss.parts()) {
          addCrash(
              lost, new PartCrash(process, loss.request(), 1, lost.sentAfterLoss()), nowMillis);
          confirmed.add(lost.part());
        }
      }
    }
    removePending(loss -> loss.process().equals(process));
    Map<String, Integer> counts = new HashMap<>();
    confirmed.forEach(part -> counts.put(part, candidate(part, nowMillis).crashes().size()));
    expireDecision();
    return counts;
  }

  private void addCrash(LostPart lost, PartCrash crash, long nowMillis) {
    knownMillis.putIfAbsent(lost.part(), nowMillis);
    LocalPartEvidence before = local.getOrDefault(lost.part(), LocalPartEvidence.NONE);
    local.putNewest(
        lost.part(), before.with(crash, lost.depth(), nowMillis + SUSPECT_RETENTION_MILLIS));
  }

  /** Records that a request was answered completely, which shows that its parts are sound. */
  public void recordServed(List<String> parts, long nowMillis) {
    firstServedMillis = Math.min(firstServedMillis, nowMillis);
    for (String part : parts) {
      servedMillis.putNewest(part, nowMillis);
      if (knownMillis.containsKey(part) || hasEvidence(part)) {
        clearances.putNewest(part, new Clearance(++clearanceCount, nowMillis));
        clear(part);
      }
    }
  }

  /**
   * Records that a request was answered, if only with an error, which shows that it does not crash
   * upstreams. Of its parts only a complete answer with success shows that.
   *
   * @param key key of the request
   */
  public void recordAnswered(String key, long nowMillis) {
    boolean shared = hasEvidence(key);
    if (shared) {
      clearances.putNewest(key, new Clearance(++clearanceCount, nowMillis));
    }
    if (shared || isPending(key)) {
      clear(key);
    }
  }

  private boolean isPending(String part) {
    return pending.stream().anyMatch(loss -> loss.contains(part));
  }

  /** Drops all that is held against a part, also what is not confirmed or may be reported again. */
  private void clear(String part) {
    rememberCleared(part);
    knownMillis.remove(part);
    if (isPending(part)) {
      List<Loss> losses = pending.stream().map(loss -> loss.without(part)).toList();
      pending.clear();
      pending.addAll(losses);
      removePending(loss -> loss.parts().isEmpty());
    }
    if (hasEvidence(part)) {
      local.remove(part);
      peers.replaceAll((peer, evidence) -> evidence.withoutCrashes(part));
      expireDecision();
    }
  }

  private void rememberCleared(String part) {
    Set<String> cleared = new LinkedHashSet<>(clearedProcesses.getOrDefault(part, Set.of()));
    cleared.addAll(candidate(part, 0).crashes().keySet());
    pending.stream().filter(loss -> loss.contains(part)).map(Loss::process).forEach(cleared::add);
    if (!cleared.isEmpty()) {
      int excess = Math.max(0, cleared.size() - MAX_CLEARED_PROCESSES);
      List.copyOf(cleared).subList(0, excess).forEach(cleared::remove);
      clearedProcesses.putNewest(part, cleared);
    }
  }

  private boolean hasEvidence(String part) {
    return local.containsKey(part) || isSuspectedByPeer(part);
  }

  private boolean isSuspectedByPeer(String part) {
    return peers.values().stream()
        .map(evidence -> evidence.reports().get(part))
        .anyMatch(report -> report != null && !report.crashes().isEmpty());
  }

  /** Replaces what another entry last reported. */
  public void updatePeer(String peer, Map<String, PartReport> reports, long nowMillis) {
    PeerPartEvidence before = peers.getOrDefault(peer, PeerPartEvidence.NONE);
    if (reports.isEmpty() && before == PeerPartEvidence.NONE) {
      return;
    }
    before.newlyServed(reports).forEach(this::clear);
    Map<String, PartReport> valid = new HashMap<>();
    reports.forEach((part, report) -> valid.put(part, withoutObsolete(part, report)));
    valid.forEach((part, report) -> learn(part, report, nowMillis));
    if (reports.isEmpty()) {
      peers.remove(peer);
    } else {
      peers.putNewest(peer, before.replacedBy(valid, nowMillis));
    }
    expireDecision();
  }

  /** Returns a report without crashes that were cleared or did not happen, as known here. */
  private PartReport withoutObsolete(String part, PartReport report) {
    Set<String> cleared = clearedProcesses.getOrDefault(part, Set.of());
    return report.withoutCrashes(
        crash -> cleared.contains(crash.process()) || processes.isAlive(crash.process()));
  }

  private void learn(String part, PartReport report, long nowMillis) {
    if (report.served() >= PartReport.SERVED_BEFORE && !RequestKey.isRequest(part)) {
      servedMillis.putNewest(part, nowMillis);
    }
    if (!report.crashes().isEmpty()) {
      knownMillis.putIfAbsent(part, nowMillis);
    }
    report.crashes().forEach(crash -> processes.reportedByPeer(crash.process(), nowMillis));
  }

  /** Merges what the stored row of another entry says; it may be older than its last report. */
  public void mergeRow(String writer, Map<String, PartReport> row, long nowMillis) {
    PeerPartEvidence known = peers.getOrDefault(writer, PeerPartEvidence.NONE);
    updatePeer(writer, known.mergedWithRow(row), nowMillis);
  }

  /**
   * Returns what this entry tells the others: its suspects with most crashes, and which parts that
   * the others suspect it has served.
   */
  public Map<String, PartReport> reports(long nowMillis) {
    evictExpired(nowMillis);
    Map<String, PartReport> reports = new HashMap<>();
    Stream.concat(strongestSuspects(true, nowMillis), strongestSuspects(false, nowMillis))
        .forEach(
            part ->
                reports.put(
                    part, local.get(part).toReport(served(part, nowMillis), MAX_REPORTED_CRASHES)));
    Stream.concat(recentClearances(nowMillis), partsSuspectedByPeers())
        .distinct()
        .filter(part -> !local.containsKey(part) && isKnownAsServed(part))
        .limit(MAX_REPORTED_SERVED)
        .forEach(part -> reports.put(part, new PartReport(0, served(part, nowMillis), List.of())));
    return reports;
  }

  /** Returns the whole requests, or the prompt parts, with most crashes, the newest first. */
  private Stream<String> strongestSuspects(boolean requests, long nowMillis) {
    List<String> newestFirst = new ArrayList<>(local.keySet()).reversed();
    return newestFirst.stream()
        .filter(part -> RequestKey.isRequest(part) == requests)
        .map(part -> candidate(part, nowMillis))
        .sorted(Comparator.comparing(candidate -> -candidate.crashes().size()))
        .limit(MAX_REPORTED_SUSPECTS)
        .map(PartCandidate::part);
  }

  private boolean isKnownAsServed(String part) {
    return servedMillis.containsKey(part) || clearances.containsKey(part);
  }

  private Stream<String> recentClearances(long nowMillis) {
    return clearances.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue().atMillis() <= CLEARANCE_REPORT_MILLIS)
        .map(Map.Entry::getKey);
  }

  private Stream<String> partsSuspectedByPeers() {
    return peers.values().stream()
        .flatMap(evidence -> evidence.reports().entrySet().stream())
        .filter(entry -> !entry.getValue().crashes().isEmpty())
        .map(Map.Entry::getKey);
  }

  private long served(String part, long nowMillis) {
    if (isKnownAsServed(part)) {
      Clearance clearance = clearances.get(part);
      return clearance == null ? PartReport.SERVED_BEFORE : clearance.number();
    }
    return isWarm(nowMillis) ? PartReport.NEVER_SERVED : PartReport.UNKNOWN;
  }

  /** Returns whether there is any evidence; if not, callers need not ask about parts. */
  public boolean hasSuspects() {
    return !local.isEmpty() || !peers.isEmpty() || !blocked.isEmpty();
  }

  /** Returns whether an answer could clear a request; if not, callers need not tell of answers. */
  public boolean awaitsAnswers() {
    return !pending.isEmpty() || hasSuspects();
  }

  /**
   * Returns the first of some parts because of which a request must not be sent. One request may be
   * sent with a blocked part as a trial, as its complete answer lifts a block of a sound part.
   *
   * @param holder identifies the request
   * @param isOwnTurn whether a trial of a part is this entry's in a round
   */
  public Optional<String> blockedPart(
      List<String> parts, Object holder, TrialTurn isOwnTurn, long nowMillis) {
    if (!hasSuspects()) {
      return Optional.empty();
    }
    decide(nowMillis);
    return parts.stream()
        .filter(blocked::containsKey)
        .filter(part -> !trials.get(part).grant(holder, isOwnTurn, nowMillis))
        .findFirst();
  }

  /** Decides which entry may try a blocked part. */
  @FunctionalInterface
  public interface TrialTurn {
    /** Returns whether the trial of a part is this entry's in a round. */
    boolean isOwn(String part, long round);
  }

  /** Records that a request ended without being sent; a trial granted to it goes to another. */
  public void requestEndedUnsent(Object holder) {
    trials.values().forEach(trial -> trial.release(holder));
  }

  /**
   * Returns whether the block of a part will hardly be lifted: its trial has failed, or it is a
   * request under which several processes have ended for certain.
   */
  public boolean isSettled(String part) {
    if (trials.containsKey(part) && trials.get(part).hasFailed()) {
      return true;
    }
    PartCandidate candidate = blocked.get(part);
    return candidate != null
        && RequestKey.isRequest(part)
        && candidate.crashes().keySet().stream().filter(processes::hasEnded).count()
            >= SETTLING_CRASHES;
  }

  /** Returns the number of blocked parts. */
  public int blockedParts(long nowMillis) {
    decide(nowMillis);
    return blocked.size();
  }

  /**
   * Records that a request with a blocked part was refused, which prolongs the block. This entry
   * then holds the evidence itself and no longer depends on those that reported it.
   */
  public void recordRefusal(String part, long nowMillis) {
    PartCandidate candidate = blocked.get(part);
    if (candidate == null) {
      return;
    }
    LocalPartEvidence evidence = local.getOrDefault(part, LocalPartEvidence.NONE);
    for (PartCrash crash : candidate.crashes().values()) {
      if (!evidence.crashes().containsKey(crash.process())) {
        evidence = evidence.with(crash.fromOthers(), candidate.depth(), 0);
      }
    }
    local.putNewest(part, evidence.keptUntil(nowMillis + BLOCK_RETENTION_MILLIS));
  }

  /** Returns the blocks that started or ended since the last call. */
  public List<PartBlock> takeChanges(long nowMillis) {
    decide(nowMillis);
    List<PartBlock> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }

  private void expireDecision() {
    decidedMillis = Long.MIN_VALUE;
  }

  private void decide(long nowMillis) {
    boolean current =
        decidedMillis != Long.MIN_VALUE && nowMillis - decidedMillis < MAX_DECISION_AGE_MILLIS;
    if (current) {
      return;
    }
    evictExpired(nowMillis);
    decidedMillis = nowMillis;
    Map<String, PartCandidate> now = new HashMap<>();
    PartBlocking.blocked(candidates(nowMillis), nowMillis)
        .forEach(candidate -> now.put(candidate.part(), candidate));
    noteChanges(now, nowMillis);
    blocked = now;
    blocked.forEach((part, candidate) -> trials.get(part).noteCrashes(candidate, nowMillis));
  }

  private void noteChanges(Map<String, PartCandidate> now, long nowMillis) {
    now.forEach(
        (part, candidate) -> {
          if (!blocked.containsKey(part)) {
            changes.add(PartBlock.started(candidate));
            trials.put(part, new PartTrials(candidate, nowMillis));
            local.computeIfPresent(
                part, (id, each) -> each.keptUntil(nowMillis + BLOCK_RETENTION_MILLIS));
          }
        });
    blocked.forEach(
        (part, candidate) -> {
          if (!now.containsKey(part)) {
            changes.add(PartBlock.ended(candidate));
            trials.remove(part);
          }
        });
  }

  /** Returns the parts with enough crashes to be blocked, which are few of those in a crash. */
  private List<PartCandidate> candidates(long nowMillis) {
    Map<String, Integer> reported = new HashMap<>();
    local.forEach((part, evidence) -> reported.put(part, evidence.crashes().size()));
    peers
        .values()
        .forEach(
            evidence ->
                evidence
                    .reports()
                    .forEach(
                        (part, report) ->
                            reported.merge(part, report.crashes().size(), Integer::sum)));
    return reported.entrySet().stream()
        .filter(each -> each.getValue() >= PartBlocking.MIN_CRASHES)
        .map(each -> candidate(each.getKey(), nowMillis))
        .toList();
  }

  private PartCandidate candidate(String part, long nowMillis) {
    LocalPartEvidence own = local.getOrDefault(part, LocalPartEvidence.NONE);
    Map<String, PartCrash> crashes = new HashMap<>(own.crashes());
    int depth = own.depth();
    for (PeerPartEvidence evidence : peers.values()) {
      PartReport report = evidence.reports().get(part);
      if (report != null) {
        depth = Math.max(depth, report.depth());
        report.crashes().forEach(crash -> crashes.merge(crash.process(), crash, PartCrash::add));
      }
    }
    long known = knownMillis.getOrDefault(part, nowMillis);
    return new PartCandidate(part, depth, isFamiliar(part, nowMillis), known, crashes);
  }

  private boolean isWarm(long nowMillis) {
    return nowMillis - firstServedMillis >= WARM_UP_MILLIS;
  }

  /**
   * Returns whether a part was served before; an entry that cannot tell asks the others. Whole
   * requests are not remembered, as few of them come again.
   */
  private boolean isFamiliar(String part, long nowMillis) {
    if (RequestKey.isRequest(part)) {
      return false;
    }
    if (servedMillis.containsKey(part)) {
      return true;
    }
    return !isWarm(nowMillis)
        && peers.values().stream()
            .map(evidence -> evidence.reports().get(part))
            .noneMatch(report -> report != null && report.served() == PartReport.NEVER_SERVED);
  }

  private void evictExpired(long nowMillis) {
    while (!pending.isEmpty()
        && nowMillis - pending.getFirst().atMillis() > CONFIRMATION_WINDOW_MILLIS) {
      pendingParts -= pending.removeFirst().parts().size();
    }
    local.values().removeIf(evidence -> nowMillis > evidence.expiresMillis());
    peers.values().removeIf(evidence -> nowMillis - evidence.atMillis() > BLOCK_RETENTION_MILLIS);
    knownMillis
        .entrySet()
        .removeIf(
            entry ->
                nowMillis - entry.getValue() > CONFIRMATION_WINDOW_MILLIS
                    && !hasEvidence(entry.getKey()));
  }
}
