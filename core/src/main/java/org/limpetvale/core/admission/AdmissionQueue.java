package org.limpetvale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The queue of one upstream: an immutable value whose operations return the next value.
 *
 * <p>Dispatch goes by tier, then budget, then fair share among workspaces by start tag; within a
 * workspace the earliest deadline goes first. A class below its floor share goes before that order
 * as long as no waiting request of a higher tier would miss its deadline through it. Displacement
 * takes the lowest tier first, then workspaces over budget, then the largest start tag, then the
 * newest request; it never takes a higher tier than the arriving request's.
 */
public final class AdmissionQueue {
  /** Share of the served tokens that is forgotten with each dispatch. */
  private static final double SERVED_DECAY = 0.98;

  private static final long MIN_RETRY_AFTER_MILLIS = 1000;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
  private static final double SERVICE_SMOOTHING = 0.2;

  private static final Comparator<QueuedRequest> VICTIM_ORDER =
      Comparator.comparingInt(QueuedRequest::tier)
          .thenComparing(QueuedRequest::overBudget)
          .thenComparingDouble(QueuedRequest::startTag)
          .thenComparingLong(QueuedRequest::ticket);

  private final UpstreamLimits limits;
  private final List<QueuedRequest> waiting;
  private final Map<Long, QueuedRequest> running;
  private final Map<String, Double> finishTags;
  private final Map<String, Double> servedByClass;
  private final double virtualTime;
  private final double meanServiceMillis;

  private AdmissionQueue(
      UpstreamLimits limits,
      List<QueuedRequest> waiting,
      Map<Long, QueuedRequest> running,
      Map<String, Double> finishTags,
      Map<String, Double> servedByClass,
      double virtualTime,
      double meanServiceMillis) {
    this.limits = limits;
    this.waiting = waiting;
    this.running = running;
    this.finishTags = finishTags;
    this.servedByClass = servedByClass;
    this.virtualTime = virtualTime;
    this.meanServiceMillis = meanServiceMillis;
  }

  // -- static factories

  /**
   * Returns an empty queue.
   *
   * @param limits limits of the upstream
   * @param expectedServiceMillis service time assumed before the first request ends, in
   *     milliseconds
   */
  public static AdmissionQueue of(UpstreamLimits limits, double expectedServiceMillis) {
    Objects.requireNonNull(limits, "limits is null");
    return new AdmissionQueue(
        limits, List.of(), Map.of(), Map.of(), Map.of(), 0, expectedServiceMillis);
  }

  // -- operations

  /**
   * Offers a request.
   *
   * @param arriving the request
   * @param nowMillis the sidecar's monotonic clock, in milliseconds
   * @return queued, perhaps in another's place, or refused at once with when to come back
   */
  public OfferResult offer(QueuedRequest arriving, long nowMillis) {
    double startTag = Math.max(virtualTime, finishTags.getOrDefault(arriving.workspace(), 0.0));
    QueuedRequest tagged = arriving.withStartTag(startTag);
    long waitMillis = predictedWaitMillis(arriving.tier());
    if (nowMillis + waitMillis > arriving.deadlineMillis()) {
      return new OfferResult.TooLate(
          retryAfter(waitMillis - (arriving.deadlineMillis() - nowMillis)));
    }
    Optional<QueuedRequest> victim = Optional.empty();
    if (waiting.size() >= limits.queueLimit()) {
      victim = victimFor(tagged);
      if (victim.isEmpty()) {
        return new OfferResult.Full(retryAfter(waitMillis));
      }
    }
    return new OfferResult.Queued(withQueued(tagged, victim), victim);
  }

  /**
   * Takes the next request to run, if a place is free.
   *
   * @param nowMillis the sidecar's monotonic clock, in milliseconds
   * @return the queue after it and the request
   */
  public Optional<Dispatch> next(long nowMillis) {
    if (running.size() >= limits.capacity()) {
      return Optional.empty();
    }
    List<QueuedRequest> eligible = waiting.stream().filter(this::mayRunNow).toList();
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    QueuedRequest chosen =
        floorChoice(eligible, nowMillis).orElseGet(() -> ordinaryChoice(eligible));
    return Optional.of(new Dispatch(withDispatched(chosen), chosen));
  }

  /**
   * The next request to run.
   *
   * @param queue the queue after the request has left it
   * @param request the request
   */
  public record Dispatch(AdmissionQueue queue, QueuedRequest request) {}

  /** Returns the waiting requests whose deadline has passed. */
  public List<QueuedRequest> expired(long nowMillis) {
    return waiting.stream().filter(each -> each.deadlineMillis() < nowMillis).toList();
  }

  /** Returns the queue without a waiting request; the tokens it was charged are given back. */
  public AdmissionQueue withoutWaiting(long ticket) {
    Optional<QueuedRequest> found =
        waiting.stream().filter(each -> each.ticket() == ticket).findFirst();
    if (found.isEmpty()) {
      return this;
    }
    Map<String, Double> tags = new HashMap<>(finishTags);
    credit(tags, found.get());
    return copy(without(found.get()), running, tags, servedByClass, virtualTime, meanServiceMillis);
  }

  /**
   * Returns the queue after a running request has ended.
   *
   * @param ticket the request
   * @param realTokens tokens it took, which replace the estimate
   * @param serviceMillis time it ran, in milliseconds
   */
  public AdmissionQueue withFinished(long ticket, long realTokens, long serviceMillis) {
    QueuedRequest request = running.get(ticket);
    if (request == null) {
      return this;
    }
    Map<Long, QueuedRequest> stillRunning = new HashMap<>(running);
    stillRunning.remove(ticket);
    double difference = realTokens - request.estimatedTokens();
    Map<String, Double> tags = new HashMap<>(finishTags);
    tags.merge(request.workspace(), difference / request.weight(), Double::sum);
    Map<String, Double> served = new HashMap<>(servedByClass);
    served.computeIfPresent(
        request.requestClass(), (name, tokens) -> Math.max(0, tokens + difference));
    double mean = meanServiceMillis + SERVICE_SMOOTHING * (serviceMillis - meanServiceMillis);
    return copy(waiting, Map.copyOf(stillRunning), prune(tags), served, virtualTime, mean);
  }

  // -- queries

  /** Returns the waiting requests in order of arrival. */
  public List<QueuedRequest> waiting() {
    return waiting;
  }

  /** Returns the number of running requests. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the smoothed service time, in milliseconds. */
  public double meanServiceMillis() {
    return meanServiceMillis;
  }

  /** Returns the number of waiting requests of each tier. */
  public List<Integer> waitingByTier(int tiers) {
    int[] counts = new int[tiers];
    waiting.forEach(each -> counts[Math.min(each.tier(), tiers - 1)]++);
    return java.util.Arrays.stream(counts).boxed().toList();
  }

  /** Predicts the wait of a request that arrives now, in milliseconds. */
  public long predictedWaitMillis(int tier) {
    long ahead = waiting.stream().filter(each -> each.tier() <= tier).count();
    int free = limits.capacity() - running.size();
    if (ahead < free) {
      return 0;
    }
    double reserved = reservedShareBelow(tier);
    double placesMillis = meanServiceMillis / limits.capacity();
    return Math.round((ahead - Math.max(0, free) + 1) * placesMillis / (1 - reserved));
  }

  // -- choice

  private boolean mayRunNow(QueuedRequest request) {
    return !request.exclusive() || running.values().stream().noneMatch(QueuedRequest::exclusive);
  }

  private QueuedRequest ordinaryChoice(List<QueuedRequest> eligible) {
    Map<String, QueuedRequest> heads = new HashMap<>();
    int tier = eligible.stream().mapToInt(QueuedRequest::tier).min().orElseThrow();
    eligible.stream()
        .filter(each -> each.tier() == tier)
        .forEach(each -> heads.merge(each.workspace(), each, AdmissionQueue::earlier));
    return heads.values().stream()
        .min(
            Comparator.comparing(QueuedRequest::overBudget)
                .thenComparingDouble(QueuedRequest::startTag)
                .thenComparingLong(QueuedRequest::deadlineMillis)
                .thenComparingLong(QueuedRequest::ticket))
        .orElseThrow();
  }

  private static QueuedRequest earlier(QueuedRequest a, QueuedRequest b) {
    return a.deadlineMillis() <= b.deadlineMillis() ? a : b;
  }

  /**
   * Finds a request of the class that lies furthest below its floor, if it harms no higher tier.
   */
  private Optional<QueuedRequest> floorChoice(List<QueuedRequest> eligible, long nowMillis) {
    double total = servedByClass.values().stream().mapToDouble(Double::doubleValue).sum();
    if (total <= 0) {
      return Optional.empty();
    }
    return eligible.stream()
        .filter(each -> servedShare(each, total) < each.floorShare())
        .filter(each -> harmsNoHigherTier(each, nowMillis))
        .min(
            Comparator.<QueuedRequest>comparingDouble(
                    each -> servedShare(each, total) / each.floorShare())
                .thenComparingDouble(QueuedRequest::startTag)
                .thenComparingLong(QueuedRequest::ticket));
  }

  private double servedShare(QueuedRequest request, double total) {
    return servedByClass.getOrDefault(request.requestClass(), 0.0) / total;
  }

  private boolean harmsNoHigherTier(QueuedRequest low, long nowMillis) {
    double placeMillis = meanServiceMillis / limits.capacity();
    List<QueuedRequest> higher =
        waiting.stream()
            .filter(each -> each.tier() < low.tier())
            .sorted(
                Comparator.comparingInt(QueuedRequest::tier)
                    .thenComparingLong(QueuedRequest::deadlineMillis))
            .toList();
    for (int position = 0; position < higher.size(); position++) {
      double startMillis = nowMillis + (position + 1) * placeMillis;
      if (startMillis > higher.get(position).deadlineMillis()) {
        return false;
      }
    }
    return true;
  }

  private Optional<QueuedRequest> victimFor(QueuedRequest arriving) {
    return waiting.stream()
        .max(VICTIM_ORDER)
        .filter(
            victim ->
                victim.tier() > arriving.tier()
                    || (victim.tier() == arriving.tier() && precedes(arriving, victim)));
  }

  private static boolean precedes(QueuedRequest arriving, QueuedRequest victim) {
    if (arriving.overBudget() != victim.overBudget()) {
      return victim.overBudget();
    }
    return arriving.startTag() + arriving.estimatedTokens() / arriving.weight() < victim.startTag();
  }

  private double reservedShareBelow(int tier) {
    Set<String> classes = new HashSet<>();
    double reserved = 0;
    for (QueuedRequest each : waiting) {
      if (each.tier() > tier && classes.add(each.requestClass())) {
        reserved += each.floorShare();
      }
    }
    return Math.min(reserved, 0.5);
  }

  private long retryAfter(long waitMillis) {
    return Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  // -- next values

  private AdmissionQueue withQueued(QueuedRequest tagged, Optional<QueuedRequest> victim) {
    List<QueuedRequest> queued = new ArrayList<>(waiting);
    Map<String, Double> tags = new HashMap<>(finishTags);
    victim.ifPresent(
        gone -> {
          queued.remove(gone);
          credit(tags, gone);
        });
    queued.add(tagged);
    tags.put(tagged.workspace(), tagged.startTag() + tagged.estimatedTokens() / tagged.weight());
    return copy(List.copyOf(queued), running, tags, servedByClass, virtualTime, meanServiceMillis);
  }

  private AdmissionQueue withDispatched(QueuedRequest chosen) {
    Map<Long, QueuedRequest> nowRunning = new HashMap<>(running);
    nowRunning.put(chosen.ticket(), chosen);
    Map<String, Double> served = new HashMap<>();
    servedByClass.forEach(
        (name, tokens) -> {
          if (tokens * SERVED_DECAY >= 1) {
            served.put(name, tokens * SERVED_DECAY);
          }
        });
    served.merge(chosen.requestClass(), (double) chosen.estimatedTokens(), Double::sum);
    return copy(
        without(chosen),
        Map.copyOf(nowRunning),
        finishTags,
        served,
        Math.max(virtualTime, chosen.startTag()),
        meanServiceMillis);
  }

  private List<QueuedRequest> without(QueuedRequest gone) {
    return waiting.stream().filter(each -> each.ticket() != gone.ticket()).toList();
  }

  private static void credit(Map<String, Double> tags, QueuedRequest gone) {
    tags.computeIfPresent(
        gone.workspace(), (name, tag) -> tag - gone.estimatedTokens() / gone.weight());
  }

  /** Drops the tags that lie behind virtual time, so that idle workspaces take no memory. */
  private Map<String, Double> prune(Map<String, Double> tags) {
    tags.values().removeIf(tag -> tag <= virtualTime);
    return tags;
  }

  private AdmissionQueue copy(
      List<QueuedRequest> newWaiting,
      Map<Long, QueuedRequest> newRunning,
      Map<String, Double> newTags,
      Map<String, Double> newServed,
      double newVirtualTime,
      double newMeanServiceMillis) {
    return new AdmissionQueue(
        limits, newWaiting, newRunning, newTags, newServed, newVirtualTime, newMeanServiceMillis);
  }
}
