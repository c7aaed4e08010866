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
 * Orders the number of upstreams per availability zone for services that are scaled. Must be used
 * on the event loop only.
 *
 * <p>Scaling up is ordered as soon as demand requires it, scaling down only after demand has been
 * low for a long time. Only the lease holder places orders, but every entry samples the demand, so
 * that a new holder has its history.
 */
public final class ScalingDuty {
  private static final long SAMPLE_INTERVAL_MILLIS = 1_000;

  /** Time without a ready upstream after which a zone counts as lost. */
  private static final long LOST_ZONE_MILLIS = 6_000;

  /**
   * Time after which an order is placed again, since a previous lease holder may have ordered a
   * different number.
   */
  private static final long ORDER_VALIDITY_MILLIS = 15_000;

  private final String holder;
  private final Supplier<Optional<FleetConfig>> config;
  private final Supplier<FleetView> fleet;
  private final Demand demand;
  private final DutyClient client;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, DemandWindow> windows = new HashMap<>();

  /** When each zone of each service last had a ready upstream. */
  private final Map<ServiceZone, Long> lastReadyMillis = new HashMap<>();

  private final Map<ServiceZone, Order> orders = new HashMap<>();

  private record ServiceZone(String service, String zone) {}

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
    this.client = Objects.requireNonNull(calls, "calls is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Creates a scaling duty that has not started to sample demand.
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

  /** Starts sampling the demand periodically. */
  void start() {
    timer.every(SAMPLE_INTERVAL_MILLIS, this::sampleDemand);
  }

  private void sampleDemand() {
    long nowMillis = timer.nowMillis();
    scalingByService()
        .forEach(
            (service, bounds) -> {
              windows
                  .computeIfAbsent(service, name -> DemandWindow.empty())
                  .recordDemand(demand.forService(service, nowMillis), nowMillis);
              for (Upstream upstream : fleet.get().ready(service)) {
                lastReadyMillis.put(new ServiceZone(service, upstream.zone()), nowMillis);
              }
            });
  }

  private Map<String, ServicePolicy.ScalingBounds> scalingByService() {
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

  /** Places the orders that are due. */
  CompletableFuture<Void> act(HeldLease lease) {
    CompletableFuture<Void> steps = CompletableFuture.completedFuture(null);
    for (Map.Entry<String, ServicePolicy.ScalingBounds> each : scalingByService().entrySet()) {
      DemandWindow window = windows.get(each.getKey());
      if (window == null) {
        continue;
      }
      for (Map.Entry<ServiceZone, Integer> dueOrder :
          dueOrders(each.getKey(), each.getValue(), window).entrySet()) {
        steps = steps.thenCompose(ignored -> order(dueOrder.getKey(), dueOrder.getValue(), lease));
      }
    }
    return steps;
  }

  private Map<ServiceZone, Integer> dueOrders(
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
    lastReadyMillis.forEach(
        (serviceZone, atMillis) -> {
          if (serviceZone.service().equals(service)) {
            zones.add(serviceZone.zone());
            if (nowMillis - atMillis > LOST_ZONE_MILLIS) {
              lost.add(serviceZone.zone());
            }
          }
        });
    Map<ServiceZone, Integer> dueOrders = new HashMap<>();
    int limited = demand.limitedUpstreams(service);
    UpstreamCounts.desired(bounds, slots, window.forecast(), limited, zones, lost)
        .forEach(
            (zone, count) -> {
              ServiceZone serviceZone = new ServiceZone(service, zone);
              int standing = currentTarget(serviceZone, ready.getOrDefault(zone, 0));
              boolean scalesDown = count < standing;
              if (count > standing || scalesDown && window.coversFullWindow(nowMillis)) {
                dueOrders.put(serviceZone, count);
              }
            });
    return dueOrders;
  }

  /** Returns the count last ordered if that order is still valid, otherwise the ready count. */
  private int currentTarget(ServiceZone serviceZone, int ready) {
    Order last = orders.get(serviceZone);
    boolean valid = last != null && timer.nowMillis() - last.atMillis() < ORDER_VALIDITY_MILLIS;
    return valid ? last.count() : ready;
  }

  private CompletableFuture<Void> order(ServiceZone serviceZone, int count, HeldLease lease) {
    if (!lease.stillHeld().getAsBoolean()) {
      return CompletableFuture.completedFuture(null);
    }
    return client
        .orderUpstreams(holder, lease.epoch(), serviceZone.service(), serviceZone.zone(), count)
        .thenAccept(
            reply -> {
              log.stateChange(
                  "upstreams_ordered",
                  field("service", serviceZone.service()),
                  field("zone", serviceZone.zone()),
                  field("count", count),
                  field("expectedRequests", windows.get(serviceZone.service()).forecast()),
                  field("limitedUpstreams", demand.limitedUpstreams(serviceZone.service())),
                  field("epoch", lease.epoch()),
                  field("outcome", reply.toString()));
              if (reply instanceof DutyReply.Taken) {
                orders.put(serviceZone, new Order(count, timer.nowMillis()));
              }
            });
  }
}
