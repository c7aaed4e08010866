package org.limpetvale.forward.place;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EnginePlacement;
import org.limpetvale.core.placement.EnginePools;
import org.limpetvale.core.placement.PrefixBook;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.placement.Rendezvous;
import org.limpetvale.core.placement.ServicePlacement;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.route.RequestPlan;

/** Places requests on upstreams; for the event loop only. */
public final class Placer {
  /** Weight of a new count of streams in the smoothed count. */
  private static final double STREAMS_WEIGHT = 0.05;

  private final String zone;
  private final Supplier<FleetView> fleet;
  private final IntSupplier entries;
  private final LoadBook loads;
  private final TimerService timer;
  private final PrefixBook prefixes = PrefixBook.empty();
  private double tightStreams;

  private Placer(
      String zone,
      Supplier<FleetView> fleet,
      IntSupplier entries,
      LoadBook loads,
      TimerService timer) {
    this.zone = Objects.requireNonNull(zone, "zone is null");
    this.fleet = Objects.requireNonNull(fleet, "fleet is null");
    this.entries = Objects.requireNonNull(entries, "entries is null");
    this.loads = Objects.requireNonNull(loads, "loads is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /**
   * Returns a placer.
   *
   * @param zone availability zone of this entry
   * @param fleet the upstreams that are known
   * @param entries number of entries that share the upstreams
   */
  public static Placer of(
      String zone,
      Supplier<FleetView> fleet,
      IntSupplier entries,
      LoadBook loads,
      TimerService timer) {
    return new Placer(zone, fleet, entries, loads, timer);
  }

  /**
   * Places a request.
   *
   * @param plan its plan
   * @param shape its size
   * @param excluded ids of upstreams that it must not go to
   */
  public Optional<Choice> place(RequestPlan plan, PromptShape shape, Set<String> excluded) {
    long nowMillis = timer.nowMillis();
    List<Upstream> ready = fleet.get().ready(plan.service());
    List<Upstream> candidates =
        ready.stream().filter(each -> usable(each, excluded, nowMillis)).toList();
    if (!shape.isModelRequest()) {
      return ServicePlacement.choose(
          zone, candidates.stream().map(each -> loads.state(each).load(0, nowMillis)).toList());
    }
    EnginePools pools = pools(ready);
    String preferred = preferred(plan, shape, pools, ready);
    List<UpstreamLoad> rated =
        candidates.stream()
            .map(each -> rated(each, shape, each.id().equals(preferred), nowMillis))
            .toList();
    return EnginePlacement.choose(plan.route(), shape, zone, pools, rated);
  }

  /** Notes that an engine reads a prompt. */
  public void sent(Upstream upstream, PromptShape shape) {
    if (shape.isModelRequest()) {
      prefixes.note(upstream, shape, timer.nowMillis());
    }
  }

  /** Returns the load book. */
  public LoadBook loads() {
    return loads;
  }

  private boolean usable(Upstream upstream, Set<String> excluded, long nowMillis) {
    return !excluded.contains(upstream.id()) && !loads.state(upstream).paused(nowMillis);
  }

  private UpstreamLoad rated(
      Upstream upstream, PromptShape shape, boolean preferred, long nowMillis) {
    int cached = prefixes.expectedTokens(upstream, shape, preferred, nowMillis);
    return loads.state(upstream).load(cached, nowMillis);
  }

  private EnginePools pools(List<Upstream> ready) {
    tightStreams += STREAMS_WEIGHT * (loads.tightStreams() - tightStreams);
    return EnginePools.split(ready, tightStreams * Math.max(1, entries.getAsInt()));
  }

  private static String preferred(
      RequestPlan plan, PromptShape shape, EnginePools pools, List<Upstream> ready) {
    boolean tight = EnginePlacement.isTight(plan.route());
    List<Upstream> pool =
        ready.stream().filter(each -> pools.tight().contains(each.id()) == tight).toList();
    return shape
        .affinityKey()
        .flatMap(key -> Rendezvous.order(key, pool).stream().findFirst())
        .map(Upstream::id)
        .orElse("");
  }
}
