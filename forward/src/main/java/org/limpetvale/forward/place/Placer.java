package org.limpetvale.forward.place;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.CandidateSampler;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EnginePlacement;
import org.limpetvale.core.placement.EnginePools;
import org.limpetvale.core.placement.PlacementRequest;
import org.limpetvale.core.placement.PrefixCacheIndex;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.placement.RendezvousHashing;
import org.limpetvale.core.placement.ServicePlacement;
import org.limpetvale.core.placement.StreamCountEstimate;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.route.RequestPlan;

/** Places requests on upstreams; for the event loop only. */
public final class Placer {
  /** Shared tokens from which an engine that has them is worth looking at. */
  private static final int LONG_PREFIX_TOKENS = 1_000;

  /** Engines in the order of preference that matter: they are always looked at. */
  private static final int PREFERRED = 2;

  /** Share of its target that a request waits for an engine that has its prefix. */
  private static final double PATIENT_SHARE = 0.3;

  private final String zone;
  private final Supplier<FleetView> fleet;
  private final PeerReports peers;
  private final UpstreamStates loads;
  private final EngineProfiles engines;
  private final TimerService timer;
  private final PrefixCacheIndex prefixes = PrefixCacheIndex.empty();
  private final RecentPlacements recent = new RecentPlacements();
  private final StreamCountEstimate tightStreams = StreamCountEstimate.empty();

  private Placer(
      String zone,
      Supplier<FleetView> fleet,
      PeerReports peers,
      UpstreamStates loads,
      EngineProfiles engines,
      TimerService timer) {
    this.zone = Objects.requireNonNull(zone, "zone is null");
    this.fleet = Objects.requireNonNull(fleet, "fleet is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.loads = Objects.requireNonNull(loads, "loads is null");
    this.engines = Objects.requireNonNull(engines, "engines is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /**
   * Returns a placer.
   *
   * @param zone availability zone of this entry
   * @param fleet the upstreams that are known
   * @param peers what the other entries have told of the upstreams
   * @param engines what is learned of the engines
   */
  public static Placer of(
      String zone,
      Supplier<FleetView> fleet,
      PeerReports peers,
      UpstreamStates loads,
      EngineProfiles engines,
      TimerService timer) {
    return new Placer(zone, fleet, peers, loads, engines, timer);
  }

  /**
   * Places a request.
   *
   * @param plan its plan
   * @param shape its size
   * @param waitedMillis time that it has waited
   * @param excluded ids of upstreams that it must not go to
   */
  public Optional<Choice> place(
      RequestPlan plan, PromptShape shape, long waitedMillis, Set<String> excluded) {
    long nowMillis = timer.nowMillis();
    List<Upstream> ready = fleet.get().ready(plan.service());
    List<Upstream> candidates =
        ready.stream().filter(each -> usable(each, excluded, nowMillis)).toList();
    if (!shape.isModelRequest()) {
      return ServicePlacement.choose(
          zone, candidates.stream().map(each -> load(each, 0, 0, nowMillis)).toList());
    }
    boolean tight = engines.isTight(plan.service(), plan.route());
    EnginePools pools = pools(plan.service(), ready);
    List<String> preferred = preferred(tight, shape, pools, ready);
    List<Upstream> sample =
        CandidateSampler.sample(
            candidates,
            1 + peers.liveEntryCount(),
            each -> mayHavePrefix(each, shape, preferred, nowMillis),
            ThreadLocalRandom.current()::nextDouble);
    List<UpstreamLoad> rated =
        sample.stream().map(each -> rated(each, shape, preferred, nowMillis)).toList();
    boolean patient = waitedMillis < PATIENT_SHARE * plan.route().targetLatencyMillis();
    PlacementRequest request = new PlacementRequest(plan.route(), shape, zone, tight, patient);
    return EnginePlacement.choose(request, engines.model(plan.service()), pools, rated);
  }

  /** Notes that an engine reads a prompt. */
  public void requestSent(Upstream upstream, PromptShape shape) {
    if (shape.isModelRequest()) {
      prefixes.recordPrompt(upstream, shape, timer.nowMillis());
      recent.note(upstream.id(), shape, timer.nowMillis());
    }
  }

  /** Returns the prompt parts that this entry has lately sent to engines, for the other entries. */
  public Map<String, Set<String>> recentPlacements() {
    return recent.toReport(timer.nowMillis());
  }

  /** Notes where another entry has sent prompts. */
  public void peerReported(PeerReport report) {
    report
        .placements()
        .forEach(
            (id, partIds) ->
                fleet.get().find(id).ifPresent(upstream -> noteRead(upstream, partIds)));
  }

  private void noteRead(Upstream upstream, Set<String> partIds) {
    partIds.forEach(partId -> prefixes.recordPart(upstream, partId, timer.nowMillis()));
  }

  /** Returns what is learned of the engines. */
  public EngineProfiles engineProfiles() {
    return engines;
  }

  /** Returns the load book. */
  public UpstreamStates upstreamStates() {
    return loads;
  }

  private boolean usable(Upstream upstream, Set<String> excluded, long nowMillis) {
    return !excluded.contains(upstream.id()) && !loads.state(upstream).isPaused(nowMillis);
  }

  private boolean mayHavePrefix(
      Upstream upstream, PromptShape shape, List<String> preferred, long nowMillis) {
    if (preferred.contains(upstream.id())) {
      return true;
    }
    int shared = shape.sharedTokens();
    return shared >= LONG_PREFIX_TOKENS
        && prefixes.expectedCachedTokens(upstream, shape, Integer.MAX_VALUE, nowMillis) >= shared;
  }

  private UpstreamLoad rated(
      Upstream upstream, PromptShape shape, List<String> preferred, long nowMillis) {
    int place = preferred.indexOf(upstream.id());
    int affinityRank = place < 0 ? Integer.MAX_VALUE : place;
    int cached = prefixes.expectedCachedTokens(upstream, shape, affinityRank, nowMillis);
    return load(upstream, cached, affinityRank, nowMillis);
  }

  private UpstreamLoad load(Upstream upstream, int cachedTokens, int affinityRank, long nowMillis) {
    Optional<PeerReport.Load> others =
        peers.hasFreshReport() ? Optional.of(peers.peerLoad(upstream.id())) : Optional.empty();
    return loads.state(upstream).load(cachedTokens, affinityRank, others, nowMillis);
  }

  private EnginePools pools(String service, List<Upstream> ready) {
    int now = loads.tightStreams() + peers.tightStreams();
    return engines.split(service, ready, tightStreams.update(now, timer.nowMillis()));
  }

  /** Returns the engines of a request's pool that all entries prefer, in their order. */
  private static List<String> preferred(
      boolean tight, PromptShape shape, EnginePools pools, List<Upstream> ready) {
    List<Upstream> pool =
        ready.stream().filter(each -> pools.tightPoolIds().contains(each.id()) == tight).toList();
    return shape
        .affinityKey()
        .map(
            key ->
                RendezvousHashing.first(key, pool, PREFERRED).stream().map(Upstream::id).toList())
        .orElse(List.of());
  }
}
