package org.limpetvale.forward.duty;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.ServicePolicy;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.scaling.DemandWindow;
import org.limpetvale.core.scaling.UpstreamCounts;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;

/**
 * Orders the number of upstreams by zone, for services whose number can be ordered; for the event
 * loop only.
 *
 * <p>More are ordered as soon as the demand asks for them, fewer only after a demand that was low
 * for long. The holder of the lease alone orders; every entry watches the demand, so that a new
 * holder knows its past.
 */
public final class ScalingDuty {
  private static final long WATCH_MILLIS = 1_000;

  /** Time without an upstream after which a zone counts as lost. */
  private static final long LOST_MILLIS = 6_000;

  /** Time after which an order is given again, as the last holder's may have been another. */
  private static final long REPEAT_MILLIS = 15_000;

  private final String holder;
  private final Supplier<Optional<FleetConfig>> config;
  private final Supplier<FleetView> fleet;
  private final Demand demand;
  private final DutyClient calls;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, DemandWindow> windows = new HashMap<>();

  /** When each zone of each service last had an upstream. */
  private final Map<Subject, Long> seenAtMillis = new HashMap<>();

  private final Map<Subject, Order> orders = new HashMap<>();

  private record Subject(String service, String zone) {}

  private record Order(int count, long atMillis) {}

  private ScalingDuty(
      String holder,
      Supplier<Optional<FleetConfig>> config,
      Supplier<FleetView> fleet,
      Demand demand,
      DutyClient calls,
      TimerService timer,
      EventLog log) {
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.config = Objects.requireNonNull(config, "config is null");
    this.fleet = Objects.requireNonNull(fleet, "fleet is null");
    this.demand = Objects.requireNonNull(demand, "demand is null");
    this.calls = Objects.requireNonNull(calls, "calls is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns a duty that watches nothing yet.
   *
   * @param holder name of this entry
   */
  public static ScalingDuty of(
      String holder,
      Supplier<Optional<FleetConfig>> config,
      Supplier<FleetView> fleet,
      Demand demand,
      DutyClient calls,
      TimerService timer,
      EventLog log) {
    return new ScalingDuty(holder, config, fleet, demand, calls, timer, log);
  }

  /** Begins to watch the demand. */
  void start() {
    timer.every(WATCH_MILLIS, this::watch);
  }

  private void watch() {
    long nowMillis = timer.nowMillis();
    scaled()
        .forEach(
            (service, bounds) -> {
              windows
                  .computeIfAbsent(service, name -> DemandWindow.empty())
                  .recordDemand(demand.forService(service, nowMillis), nowMillis);
              for (Upstream upstream : fleet.get().ready(service)) {
                seenAtMillis.put(new Subject(service, upstream.zone()), nowMillis);
              }
            });
  }

  private Map<String, ServicePolicy.ScalingBounds> scaled() {
    Map<String, ServicePolicy.ScalingBounds> scaled = new HashMap<>();
    config
        .get()
        .ifPresent(
            known ->
                known
                    .services()
                    .forEach(
                        (name, policy) ->
                            policy.scaling().ifPresent(bounds -> scaled.put(name, bounds))));
    return scaled;
  }

  /** Gives the orders that are due. */
  CompletableFuture<Void> act(HeldLease right) {
    CompletableFuture<Void> steps = CompletableFuture.completedFuture(null);
    for (Map.Entry<String, ServicePolicy.ScalingBounds> each : scaled().entrySet()) {
      DemandWindow window = windows.get(each.getKey());
      if (window == null) {
        continue;
      }
      for (Map.Entry<Subject, Integer> wish :
          wishes(each.getKey(), each.getValue(), window).entrySet()) {
        steps = steps.thenCompose(before -> order(wish.getKey(), wish.getValue(), right));
      }
    }
    return steps;
  }

  private Map<Subject, Integer> wishes(
      String service, ServicePolicy.ScalingBounds bounds, DemandWindow window) {
    long nowMillis = timer.nowMillis();
    Map<String, Integer> ready = new HashMap<>();
    int slots = 0;
    for (Upstream upstream : fleet.get().ready(service)) {
      ready.merge(upstream.zone(), 1, Integer::sum);
      slots = Math.max(slots, upstream.slots());
    }
    Set<String> zones = new TreeSet<>();
    Set<String> lost = new HashSet<>();
    seenAtMillis.forEach(
        (subject, atMillis) -> {
          if (subject.service().equals(service)) {
            zones.add(subject.zone());
            if (nowMillis - atMillis > LOST_MILLIS) {
              lost.add(subject.zone());
            }
          }
        });
    Map<Subject, Integer> wishes = new HashMap<>();
    UpstreamCounts.desired(bounds, slots, window.forecast(), zones, lost)
        .forEach(
            (zone, count) -> {
              Subject subject = new Subject(service, zone);
              int standing = standing(subject, ready.getOrDefault(zone, 0));
              boolean fewer = count < standing;
              if (count > standing || fewer && window.coversFullWindow(nowMillis)) {
                wishes.put(subject, count);
              }
            });
    return wishes;
  }

  /** Returns the number that was ordered last, or else the number that there is. */
  private int standing(Subject subject, int ready) {
    Order last = orders.get(subject);
    boolean stands = last != null && timer.nowMillis() - last.atMillis() < REPEAT_MILLIS;
    return stands ? last.count() : ready;
  }

  private CompletableFuture<Void> order(Subject subject, int count, HeldLease right) {
    if (!right.stillHeld().getAsBoolean()) {
      return CompletableFuture.completedFuture(null);
    }
    return calls
        .orderUpstreams(holder, right.epoch(), subject.service(), subject.zone(), count)
        .thenAccept(
            reply -> {
              log.stateChange(
                  "upstreams_ordered",
                  field("service", subject.service()),
                  field("zone", subject.zone()),
                  field("count", count),
                  field("expectedRequests", windows.get(subject.service()).forecast()),
                  field("epoch", right.epoch()),
                  field("outcome", reply.toString()));
              if (reply instanceof DutyReply.Taken) {
                orders.put(subject, new Order(count, timer.nowMillis()));
              }
            });
  }
}
