package org.limpetvale.forward.place;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.AllowedRegions;
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

/** Chooses the upstream of each request. Must only be used on the event loop. */
public final class Placer {
  /**
   * Minimum shared prefix, in tokens, for which engines that may have it cached are added to the
   * sample.
   */
  private static final int MIN_LOOKUP_PREFIX_TOKENS = 1_000;

  /** Number of engines, from the front of the preference order, that are always candidates. */
  private static final int PREFERRED_ENGINES = 2;

  /** Share of its latency target that a request may wait for an engine with its prefix cached. */
  private static final double MAX_AFFINITY_WAIT_SHARE = 0.3;

  /** Expected share of a prefix from which an engine is always a candidate for it. */
  private static final double LIKELY_HELD_SHARE = 0.5;

  private final String zone;
  private final Supplier<FleetView> fleet;
  private final PeerReports peers;
  private final UpstreamStates loads;
  private final UpstreamNotices notices;
  private final UpstreamLimits limits;
  private final EngineProfiles engines;
  private final TimerService timer;
  private Map<String, String> regionsByZone = Map.of();
  private final PrefixCacheIndex prefixes = PrefixCacheIndex.empty();
  private final RecentPlacements recent = new RecentPlacements();
  private Optional<PromptMemory> memory = Optional.empty();
  private final StreamCountEstimate tightStreams = StreamCountEstimate.empty();

  private Placer(
      String zone,
      Supplier<FleetView> fleet,
      PeerReports peers,
      UpstreamStates loads,
      UpstreamNotices notices,
      EngineProfiles engines,
      TimerService timer) {
    this.zone = Objects.requireNonNull(zone, "zone is null");
    this.fleet = Objects.requireNonNull(fleet, "fleet is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.loads = Objects.requireNonNull(loads, "loads is null");
    this.notices = Objects.requireNonNull(notices, "notices is null");
    this.limits = notices.limits();
    this.engines = Objects.requireNonNull(engines, "engines is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /**
   * Returns a placer.
   *
   * @param zone availability zone of this entry
   * @param fleet supplies the known upstreams
   * @param peers reports of the other entries
   * @param notices what upstreams have stated about themselves
   * @param engines measured engine profiles
   */
  public static Placer of(
      String zone,
      Supplier<FleetView> fleet,
      PeerReports peers,
      UpstreamStates loads,
      UpstreamNotices notices,
      EngineProfiles engines,
      TimerService timer) {
    return new Placer(zone, fleet, peers, loads, notices, engines, timer);
  }

  /**
   * Weighs what a kept prompt saves by the chance that its engine still holds it; without this, it
   * counts as held for a fixed time.
   */
  public void weighPromptMemory(PromptMemory learned) {
    memory = Optional.of(learned);
  }

  /**
   * Places a request.
   *
   * @param plan plan of the request
   * @param shape prompt shape of the request
   * @param waitedMillis time that the request has waited
   * @param excluded ids of upstreams that must not be chosen
   * @param mayUseLimited tells whether an upstream that has named a limit may be chosen; asked only
   *     if one could be
   */
  public Placement place(
      RequestPlan plan,
      PromptShape shape,
      long waitedMillis,
      Set<String> excluded,
      BooleanSupplier mayUseLimited) {
    long nowMillis = timer.nowMillis();
    List<Upstream> ready = inAllowedRegions(plan, fleet.get().accepting(plan.service()));
    List<Upstream> usable =
        ready.stream().filter(each -> isUsable(each, excluded, nowMillis)).toList();
    List<Upstream> candidates =
        usable.stream()
            .filter(limits::maySend)
            .filter(each -> !limits.isLimited(each) || mayUseLimited.getAsBoolean())
            .toList();
    if (candidates.isEmpty()) {
      return usable.isEmpty() ? new Placement.Unavailable() : new Placement.Deferred(usable);
    }
    List<Upstream> willing =
        candidates.stream().filter(each -> !loads.state(each).isAvoided(nowMillis)).toList();
    List<Upstream> preferred = willing.isEmpty() ? candidates : willing;
    Optional<Choice> choice =
        shape.isModelRequest()
            ? chooseEngine(plan, shape, waitedMillis, unlimited(ready), preferred)
            : chooseService(preferred, nowMillis);
    return choice.<Placement>map(Placement.Chosen::new).orElseGet(Placement.Unavailable::new);
  }

  /** Sets the region of each availability zone; that of any other zone is not known. */
  public void setRegionsByZone(Map<String, String> regions) {
    regionsByZone = Map.copyOf(regions);
  }

  private List<Upstream> inAllowedRegions(RequestPlan plan, List<Upstream> upstreams) {
    AllowedRegions allowed = plan.allowedRegions();
    if (allowed.equals(AllowedRegions.ALL)) {
      return upstreams;
    }
    return upstreams.stream()
        .filter(each -> allowed.admits(Optional.ofNullable(regionsByZone.get(each.zone()))))
        .toList();
  }

  /** Returns the upstreams that neither are limited nor leave, or all if there are none. */
  private List<Upstream> unlimited(List<Upstream> ready) {
    List<Upstream> unlimited =
        ready.stream()
            .filter(each -> !limits.isLimited(each) && !loads.state(each).isLeaving())
            .toList();
    return unlimited.isEmpty() ? ready : unlimited;
  }

  private Optional<Choice> chooseService(List<Upstream> candidates, long nowMillis) {
    return ServicePlacement.choose(
        zone,
        candidates.stream().map(each -> load(each, 0, 0, nowMillis)).toList(),
        ThreadLocalRandom.current()::nextDouble);
  }

  /**
   * Chooses the engine of a model request.
   *
   * @param pooled engines that are divided into pools and whose caches are kept for prefixes
   * @param candidates engines that may take the request now
   */
  private Optional<Choice> chooseEngine(
      RequestPlan plan,
      PromptShape shape,
      long waitedMillis,
      List<Upstream> pooled,
      List<Upstream> candidates) {
    boolean tight = engines.isTight(plan.service(), plan.route());
    EnginePools pools = pools(plan.service(), pooled);
    List<String> preferred = preferred(tight, shape, pools, pooled);
    List<Upstream> sample =
        CandidateSampler.sample(
            candidates,
            1 + peers.liveEntryCount(),
            each -> mayHavePrefix(plan, each, shape, preferred),
            ThreadLocalRandom.current()::nextDouble);
    List<UpstreamLoad> rated =
        sample.stream().map(each -> loadWithAffinity(plan, each, shape, preferred)).toList();
    boolean patient = waitedMillis < MAX_AFFINITY_WAIT_SHARE * plan.route().targetLatencyMillis();
    PlacementRequest request = new PlacementRequest(plan.route(), shape, zone, tight, patient);
    return EnginePlacement.choose(
        request,
        engines.model(plan.service()),
        pools,
        rated,
        ThreadLocalRandom.current()::nextDouble);
  }

  /**
   * Records that a request was sent, so that its prompt is expected in the engine's cache.
   *
   * @return the copy of its shared prefix that the request counted on
   */
  public Optional<PromptMemory.ExpectedCopy> requestSent(Choice choice, PromptShape shape) {
    if (!shape.isModelRequest()) {
      return Optional.empty();
    }
    Upstream upstream = choice.upstream();
    String service = upstream.service();
    OptionalLong lastReadMillis = prefixes.lastReadMillis(upstream, shape);
    prefixes.recordPrompt(upstream, shape, timer.nowMillis());
    recent.note(upstream.id(), shape, timer.nowMillis());
    int engineCount = fleet.get().ready(service).size();
    memory.ifPresent(
        known ->
            known.requestSent(
                service, shape, choice.load().uncachedTokens(shape.promptTokens()), engineCount));
    return memory.map(
        known -> known.expect(service, lastReadMillis, shape, engines.model(service)));
  }

  /** Returns what was learned about kept prompts; empty if they are not weighed. */
  public Optional<PromptMemory> promptMemory() {
    return memory;
  }

  /** Returns how many prompt tokens an engine is expected to have in its cache. */
  private int cachedTokens(
      RequestPlan plan, Upstream upstream, PromptShape shape, int affinityRank) {
    return memory
        .map(known -> known.chance(plan.service(), plan.engineCacheTokens()))
        .map(chance -> prefixes.expectedCachedTokens(upstream, shape, affinityRank, chance))
        .orElseGet(
            () -> prefixes.expectedCachedTokens(upstream, shape, affinityRank, timer.nowMillis()));
  }

  /**
   * Returns the ids of prompt parts that this entry recently sent, by engine, to report to the
   * other entries.
   */
  public Map<String, Set<String>> recentPlacements() {
    return recent.toReport(timer.nowMillis());
  }

  /** Records where another entry has sent prompts. */
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

  /** Returns the measured engine profiles. */
  public EngineProfiles engineProfiles() {
    return engines;
  }

  /** Returns what upstreams have stated about themselves. */
  public UpstreamNotices upstreamNotices() {
    return notices;
  }

  /** Returns the limits that upstreams have named. */
  public UpstreamLimits upstreamLimits() {
    return limits;
  }

  /** Returns the states of the upstreams. */
  public UpstreamStates upstreamStates() {
    return loads;
  }

  private boolean isUsable(Upstream upstream, Set<String> excluded, long nowMillis) {
    UpstreamState state = loads.state(upstream);
    return !excluded.contains(upstream.id()) && !state.isLeaving() && !state.isPaused(nowMillis);
  }

  private boolean mayHavePrefix(
      RequestPlan plan, Upstream upstream, PromptShape shape, List<String> preferred) {
    if (preferred.contains(upstream.id())) {
      return true;
    }
    int shared = shape.sharedTokens();
    return shared >= MIN_LOOKUP_PREFIX_TOKENS
        && cachedTokens(plan, upstream, shape, Integer.MAX_VALUE)
            >= (memory.isPresent() ? LIKELY_HELD_SHARE : 1) * shared;
  }

  private UpstreamLoad loadWithAffinity(
      RequestPlan plan, Upstream upstream, PromptShape shape, List<String> preferred) {
    int place = preferred.indexOf(upstream.id());
    int affinityRank = place < 0 ? Integer.MAX_VALUE : place;
    int cached = cachedTokens(plan, upstream, shape, affinityRank);
    return load(upstream, cached, affinityRank, timer.nowMillis());
  }

  private UpstreamLoad load(Upstream upstream, int cachedTokens, int affinityRank, long nowMillis) {
    return loads.state(upstream).load(cachedTokens, affinityRank, peerLoad(upstream), nowMillis);
  }

  /** Returns the load of the other entries on an upstream; empty without a fresh report. */
  private Optional<PeerReport.Load> peerLoad(Upstream upstream) {
    return peers.hasFreshReport() ? Optional.of(peers.peerLoad(upstream.id())) : Optional.empty();
  }

  private double lastingSpeed(Upstream upstream) {
    return loads.state(upstream).lastingSpeed(peerLoad(upstream).orElse(PeerReport.Load.NONE));
  }

  private EnginePools pools(String service, List<Upstream> ready) {
    int now = loads.tightStreams() + peers.tightStreams();
    return engines.split(
        service, ready, tightStreams.update(now, timer.nowMillis()), this::lastingSpeed);
  }

  /**
   * Returns the engines of the request's pool in the order of preference that all entries share.
   */
  private static List<String> preferred(
      boolean tight, PromptShape shape, EnginePools pools, List<Upstream> ready) {
    List<Upstream> pool =
        ready.stream().filter(each -> pools.tightPoolIds().contains(each.id()) == tight).toList();
    return shape
        .affinityKey()
        .map(
            key ->
                RendezvousHashing.first(key, pool, PREFERRED_ENGINES).stream()
                    .map(Upstream::id)
                    .toList())
        .orElse(List.of());
  }
}
