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
 * An immutable admission queue of one upstream; every operation returns a new queue.
 *
 * <p>Requests are dispatched by tier, then workspaces within budget before those over it, then by
 * start-time fair queueing among workspaces. Within a workspace the earliest deadline goes first. A
 * class that is below its floor share is dispatched ahead of this order unless a waiting request of
 * a higher tier would miss its deadline as a result.
 *
 * <p>A full queue evicts from the lowest tier first, then from workspaces over budget, then the
 * largest start tag, then the newest request. It never evicts a request of a higher tier than the
 * arriving one.
 */
public final class AdmissionQueue {
  /** Factor by which the tokens served per class decay with each dispatch. */
  private static final double SERVED_TOKENS_DECAY = 0.98;

  private static final long MIN_RETRY_AFTER_MILLIS = 1000;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
  private static final double SERVICE_TIME_SMOOTHING = 0.2;

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

  /**
   * Returns an empty queue.
   *
   * @param limits limits of the upstream
   * @param expectedServiceMillis initial estimate of the mean service time, in milliseconds
   */
  public static AdmissionQueue of(UpstreamLimits limits, double expectedServiceMillis) {
    Objects.requireNonNull(limits, "limits is null");
    return new AdmissionQueue(
        limits, List.of(), Map.of(), Map.of(), Map.of(), 0, expectedServiceMillis);
  }

  /**
   * Queues a request or rejects it.
   *
   * @param arriving the request
   * @param nowMillis current time on the sidecar's monotonic clock, in milliseconds
   * @return the new queue and the evicted request, if any; or a rejection with a retry delay
   */
  public OfferResult offer(QueuedRequest arriving, long nowMillis) {
    double startTag = Math.max(virtualTime, finishTags.getOrDefault(arriving.workspace(), 0.0));
    QueuedRequest tagged = arriving.withStartTag(startTag);
    long waitMillis = predictedWaitMillis(arriving.tier());
    if (nowMillis + waitMillis > arriving.deadlineMillis()) {
      return new OfferResult.TooLate(
          retryAfterMillis(waitMillis - (arriving.deadlineMillis() - nowMillis)));
    }
    Optional<QueuedRequest> victim = Optional.empty();
    if (waiting.size() >= limits.queueLimit()) {
      victim = victimFor(tagged);
      if (victim.isEmpty()) {
        return new OfferResult.Full(retryAfterMillis(waitMillis));
      }
    }
    return new OfferResult.Queued(withQueued(tagged, victim), victim);
  }

  /**
   * Dispatches the next request if the upstream has free capacity.
   *
   * @param nowMillis current time on the sidecar's monotonic clock, in milliseconds
   * @return the request and the new queue; empty if no request can be dispatched
   */
  public Optional<Dispatch> next(long nowMillis) {
    if (running.size() >= limits.capacity()) {
      return Optional.empty();
    }
    List<QueuedRequest> eligible = waiting.stream().filter(this::isEligible).toList();
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    QueuedRequest chosen =
        chooseBelowFloor(eligible, nowMillis).orElseGet(() -> chooseByTier(eligible));
    return Optional.of(new Dispatch(withDispatched(chosen), chosen));
  }

  /**
   * A dispatched request.
   *
   * @param queue the queue after the dispatch
   * @param request the request to run
   */
  public record Dispatch(AdmissionQueue queue, QueuedRequest request) {}

  /** Returns the waiting requests whose deadline has passed. */
  public List<QueuedRequest> expired(long nowMillis) {
    return waiting.stream().filter(each -> each.deadlineMillis() < nowMillis).toList();
  }

  /** Returns the queue without a waiting request; its estimated tokens are refunded. */
  public AdmissionQueue withoutWaiting(long ticket) {
    Optional<QueuedRequest> found =
        waiting.stream().filter(each -> each.ticket() == ticket).findFirst();
    if (found.isEmpty()) {
      return this;
    }
    Map<String, Double> tags = new HashMap<>(finishTags);
    refundTokens(tags, found.get());
    return copy(without(found.get()), running, tags, servedByClass, virtualTime, meanServiceMillis);
  }

  /**
   * Returns the queue after a running request has finished.
   *
   * @param ticket ticket of the request
   * @param actualTokens tokens that the request consumed; they replace the estimate
   * @param serviceMillis run time of the request, in milliseconds
   */
  public AdmissionQueue withFinished(long ticket, long actualTokens, long serviceMillis) {
    QueuedRequest request = running.get(ticket);
    if (request == null) {
      return this;
    }
    Map<Long, QueuedRequest> stillRunning = new HashMap<>(running);
    stillRunning.remove(ticket);
    double extraTokens = actualTokens - request.estimatedTokens();
    Map<String, Double> tags = new HashMap<>(finishTags);
    tags.merge(request.workspace(), extraTokens / request.weight(), Double::sum);
    Map<String, Double> served = new HashMap<>(servedByClass);
    served.computeIfPresent(
        request.requestClass(), (name, tokens) -> Math.max(0, tokens + extraTokens));
    double mean = meanServiceMillis + SERVICE_TIME_SMOOTHING * (serviceMillis - meanServiceMillis);
    return copy(waiting, Map.copyOf(stillRunning), prune(tags), served, virtualTime, mean);
  }

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

  /**
   * Returns the number of waiting requests per tier; requests of further tiers are counted in the
   * last one.
   */
  public List<Integer> waitingByTier(int tiers) {
    int[] counts = new int[tiers];
    waiting.forEach(each -> counts[Math.min(each.tier(), tiers - 1)]++);
    return java.util.Arrays.stream(counts).boxed().toList();
  }

  /** Returns the predicted wait of a request of a tier that arrives now, in milliseconds. */
  public long predictedWaitMillis(int tier) {
    long ahead = waiting.stream().filter(each -> each.tier() <= tier).count();
    int free = limits.capacity() - running.size();
    if (ahead < free) {
      return 0;
    }
    double reserved = reservedShareBelow(tier);
    double slotMillis = meanServiceMillis / limits.capacity();
    return Math.round((ahead - Math.max(0, free) + 1) * slotMillis / (1 - reserved));
  }

  private boolean isEligible(QueuedRequest request) {
    return !request.exclusive() || running.values().stream().noneMatch(QueuedRequest::exclusive);
  }

  private QueuedRequest chooseByTier(List<QueuedRequest> eligible) {
    Map<String, QueuedRequest> headByWorkspace = new HashMap<>();
    int tier = eligible.stream().mapToInt(QueuedRequest::tier).min().orElseThrow();
    eligible.stream()
        .filter(each -> each.tier() == tier)
        .forEach(
            each -> headByWorkspace.merge(each.workspace(), each, AdmissionQueue::earlierDeadline));
    return headByWorkspace.values().stream()
        .min(
            Comparator.comparing(QueuedRequest::overBudget)
                .thenComparingDouble(QueuedRequest::startTag)
                .thenComparingLong(QueuedRequest::deadlineMillis)
                .thenComparingLong(QueuedRequest::ticket))
        .orElseThrow();
  }

  private static QueuedRequest earlierDeadline(QueuedRequest a, QueuedRequest b) {
    return a.deadlineMillis() <= b.deadlineMillis() ? a : b;
  }

  /**
   * Returns a request of the class that is furthest below its floor share, if running it makes no
   * request of a higher tier miss its deadline.
   */
  private Optional<QueuedRequest> chooseBelowFloor(List<QueuedRequest> eligible, long nowMillis) {
    double total = servedByClass.values().stream().mapToDouble(Double::doubleValue).sum();
    if (total <= 0) {
      return Optional.empty();
    }
    return eligible.stream()
        .filter(each -> servedShare(each, total) < each.floorShare())
        .filter(each -> meetsHigherTierDeadlines(each, nowMillis))
        .min(
            Comparator.<QueuedRequest>comparingDouble(
                    each -> servedShare(each, total) / each.floorShare())
                .thenComparingDouble(QueuedRequest::startTag)
                .thenComparingLong(QueuedRequest::ticket));
  }

  private double servedShare(QueuedRequest request, double total) {
    return servedByClass.getOrDefault(request.requestClass(), 0.0) / total;
  }

  private boolean meetsHigherTierDeadlines(QueuedRequest candidate, long nowMillis) {
    double slotMillis = meanServiceMillis / limits.capacity();
    List<QueuedRequest> higherTiers =
        waiting.stream()
            .filter(each -> each.tier() < candidate.tier())
            .sorted(
                Comparator.comparingInt(QueuedRequest::tier)
                    .thenComparingLong(QueuedRequest::deadlineMillis))
            .toList();
    for (int position = 0; position < higherTiers.size(); position++) {
      double startMillis = nowMillis + (position + 1) * slotMillis;
      if (startMillis > higherTiers.get(position).deadlineMillis()) {
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
                    || (victim.tier() == arriving.tier() && takesPrecedence(arriving, victim)));
  }

  private static boolean takesPrecedence(QueuedRequest arriving, QueuedRequest victim) {
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

  private long retryAfterMillis(long waitMillis) {
    return Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  private AdmissionQueue withQueued(QueuedRequest tagged, Optional<QueuedRequest> victim) {
    List<QueuedRequest> queued = new ArrayList<>(waiting);
    Map<String, Double> tags = new HashMap<>(finishTags);
    victim.ifPresent(
        removed -> {
          queued.remove(removed);
          refundTokens(tags, removed);
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
          if (tokens * SERVED_TOKENS_DECAY >= 1) {
            served.put(name, tokens * SERVED_TOKENS_DECAY);
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

  private List<QueuedRequest> without(QueuedRequest removed) {
    return waiting.stream().filter(each -> each.ticket() != removed.ticket()).toList();
  }

  private static void refundTokens(Map<String, Double> tags, QueuedRequest removed) {
    tags.computeIfPresent(
        removed.workspace(), (name, tag) -> tag - removed.estimatedTokens() / removed.weight());
  }

  /** Removes finish tags that virtual time has passed, so that idle workspaces use no memory. */
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
