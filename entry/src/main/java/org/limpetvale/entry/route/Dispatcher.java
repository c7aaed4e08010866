package org.limpetvale.entry.route;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetvale.core.routing.Candidate;
import org.limpetvale.core.routing.RetryBudget;
import org.limpetvale.core.routing.Router;
import org.limpetvale.core.routing.RoutingRequest;
import org.limpetvale.core.routing.ScoredCandidate;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.EntrySettings;
import org.limpetvale.entry.RoutingSettings;
import org.limpetvale.entry.config.ConfigHolder;
import org.limpetvale.entry.upstream.RemoteAttempt;
import org.limpetvale.entry.upstream.SidecarLink;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.wire.Open;

/**
 * Chooses the sidecar for each attempt and opens the attempt; shared by all requests of an entry.
 */
public final class Dispatcher {
  /** Tier of every request when tiers are disabled. */
  private static final int SINGLE_TIER = 1;

  /** Workspace and class of every request when tiers are disabled. */
  private static final String SINGLE_NAME = "all";

  private final EntrySettings settings;
  private final String entryId;
  private final SidecarPool pool;
  private final ConfigHolder config;
  private final DecisionLog decisions;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final AtomicLong attemptCounter = new AtomicLong();
  private final AtomicReference<RetryBudget> retryBudget =
      new AtomicReference<>(RetryBudget.full());

  /** Creates the dispatcher of one entry. */
  public Dispatcher(
      EntrySettings settings,
      String entryId,
      SidecarPool pool,
      ConfigHolder config,
      DecisionLog decisions,
      TimerService timer,
      MeterRegistry metrics) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.config = Objects.requireNonNull(config, "config is null");
    this.decisions = Objects.requireNonNull(decisions, "decisions is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /**
   * Opens an attempt at the best sidecar.
   *
   * @param poolName model or service
   * @param open the offer; the dispatcher sets the entry id and configuration version and, when
   *     tiers are disabled, replaces tier, workspace and class by shared values
   * @param excluded VMs that have already refused or failed the request
   * @return the attempt, or empty when no sidecar is available
   */
  public Optional<RemoteAttempt> open(String poolName, Open.Builder open, Set<String> excluded) {
    List<SidecarLink> links =
        pool.serving(poolName).stream()
            .filter(link -> !excluded.contains(link.vm().name()))
            .toList();
    int tier = settings.routing().tiers() ? open.getTier() : SINGLE_TIER;
    List<Candidate> candidates = links.stream().map(link -> link.candidate(tier)).toList();
    RoutingRequest routingRequest =
        new RoutingRequest(
            settings.identity().zone(),
            open.hasModelCall() ? open.getModelCall().getPrefixHash() : 0,
            attemptCounter.incrementAndGet());
    List<ScoredCandidate> ordered =
        Router.order(candidates, routingRequest, settings.routing().routingPolicy());
    if (ordered.isEmpty()) {
      return Optional.empty();
    }
    decisions.recordChoice(
        open.getRequestId(),
        open.getAttempt(),
        open.getWorkspace(),
        open.getRequestClass(),
        ordered);
    open.setConfigVersion(config.current().version()).setEntryId(entryId);
    if (!settings.routing().tiers()) {
      open.setTier(SINGLE_TIER)
          .setFloorShare(0)
          .setWorkspace(SINGLE_NAME)
          .setRequestClass(SINGLE_NAME)
          .setOverBudget(false);
    }
    String chosen = ordered.getFirst().candidate().vm();
    SidecarLink link =
        links.stream().filter(each -> each.vm().name().equals(chosen)).findFirst().orElseThrow();
    return Optional.of(RemoteAttempt.open(link, open.build(), timer));
  }

  /** Returns the maximum number of offers for one request. */
  public int maxOffers() {
    RoutingSettings routing = settings.routing();
    return routing.mostOffers();
  }

  /** Takes a retry from the budget; returns false when the budget is exhausted. */
  public boolean tryAcquireRetry() {
    RetryBudget before =
        retryBudget.getAndUpdate(budget -> budget.allows() ? budget.afterRetry() : budget);
    metrics.counter("limpetvale.retries", "granted", String.valueOf(before.allows())).increment();
    return before.allows();
  }

  /** Records a success, which adds a fraction of a retry to the budget. */
  public void recordSuccess() {
    retryBudget.updateAndGet(RetryBudget::afterSuccess);
  }

  /** Returns the timer shared by all requests of this entry. */
  public TimerService timer() {
    return timer;
  }
}
