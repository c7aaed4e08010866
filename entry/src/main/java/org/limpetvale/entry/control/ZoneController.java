package org.limpetvale.entry.control;

import com.google.common.flogger.FluentLogger;
import io.grpc.StatusRuntimeException;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.core.lease.ScalingPolicy;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.ControlSettings;
import org.limpetvale.entry.upstream.SidecarLink;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.ports.PowerControl;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.wire.Drain;
import org.limpetvale.wire.OrderReply;
import org.limpetvale.wire.OrderRequest;
import org.limpetvale.wire.Undrain;

/**
 * Starts and stops the upstreams of an availability zone while this process holds the zone's lease.
 */
public final class ZoneController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PERIOD_MILLIS = 500;
  private static final int MAX_OPERATOR_REQUESTS = 500;

  private final String zone;
  private final LeaseManager lease;
  private final FencedSender sender;
  private final PowerControl power;
  private final SidecarPool pool;
  private final Table table;
  private final ControlSettings settings;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final Map<String, Long> lastBusyMillis = new ConcurrentHashMap<>();

  /** Creates the controller of a zone and schedules its periodic rounds. */
  public ZoneController(
      String zone,
      LeaseManager lease,
      FencedSender sender,
      PowerControl power,
      SidecarPool pool,
      Table table,
      ControlSettings settings,
      TimerService timer,
      MeterRegistry metrics) {
    this.zone = Objects.requireNonNull(zone, "zone is null");
    this.lease = Objects.requireNonNull(lease, "lease is null");
    this.sender = Objects.requireNonNull(sender, "sender is null");
    this.power = Objects.requireNonNull(power, "power is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    timer.every(PERIOD_MILLIS, this::round);
  }

  /** Returns the manager of the zone's lease. */
  public LeaseManager lease() {
    return lease;
  }

  private synchronized void round() {
    if (lease.held().isEmpty()) {
      return;
    }
    if (!(power.upstreams(zone)
        instanceof ReadResult.Success<List<PowerControl.ManagedUpstream>>(var units))) {
      return;
    }
    if (!(table.scan(OperatorRequest.PREFIX + zone + "/", "", MAX_OPERATOR_REQUESTS)
        instanceof ReadResult.Success<List<Row>>(List<Row> rows))) {
      return;
    }
    Map<String, OperatorRequest> requests = new TreeMap<>();
    rows.forEach(
        row -> {
          OperatorRequest request = JsonCodec.readStored(row.value(), OperatorRequest.class);
          requests.put(request.vm(), request);
          handleRequest(row, request, units);
        });
    if (settings.scaling()) {
      scale(units, requests);
    }
  }

  private void handleRequest(
      Row row, OperatorRequest request, List<PowerControl.ManagedUpstream> units) {
    Optional<PowerControl.ManagedUpstream> unit =
        units.stream().filter(each -> each.vm().equals(request.vm())).findFirst();
    if (unit.isEmpty()) {
      return;
    }
    boolean done =
        switch (request.action()) {
          case DRAIN -> drain(request.vm());
          case UNDRAIN -> undrain(request.vm()) && deleteRequest(row);
          case START ->
              (unit.get().running() || sendPowerOrder(OrderRow.Action.START, request.vm()))
                  && deleteRequest(row);
          case STOP -> stop(request.vm(), unit.get().running()) && deleteRequest(row);
        };
    logger.atFine().log("wish vm=%s action=%s done=%s", request.vm(), request.action(), done);
  }

  private boolean deleteRequest(Row row) {
    table.commit(
        new Transaction(
            List.of(new Transaction.Check(row.key(), row.revision())),
            List.of(),
            List.of(row.key())));
    return true;
  }

  private void scale(
      List<PowerControl.ManagedUpstream> units, Map<String, OperatorRequest> requests) {
    ScalingPolicy.Thresholds thresholds =
        new ScalingPolicy.Thresholds(
            settings.startAboveLoad(), settings.stopBelowLoad(), settings.leastPerZone());
    Map<String, List<PowerControl.ManagedUpstream>> pools =
        units.stream().collect(Collectors.groupingBy(PowerControl.ManagedUpstream::pool));
    pools.forEach(
        (name, members) -> {
          List<ScalingPolicy.UpstreamStatus> statuses = new ArrayList<>();
          members.forEach(each -> statuses.add(statusOf(each, requests)));
          long quietMillis = quietMillis(name, statuses, thresholds);
          ScalingPolicy.decide(statuses, thresholds, quietMillis, settings.stopAfterMillis())
              .ifPresent(this::execute);
        });
  }

  private ScalingPolicy.UpstreamStatus statusOf(
      PowerControl.ManagedUpstream unit, Map<String, OperatorRequest> requests) {
    Optional<SidecarLink> link = pool.link(unit.vm());
    int load = link.map(l -> l.load().getRunning() + l.load().getQueued()).orElse(0);
    int capacity = link.map(l -> l.load().getCapacity()).orElse(0);
    boolean draining = link.map(l -> l.load().getDraining()).orElse(false);
    return new ScalingPolicy.UpstreamStatus(
        unit.vm(),
        unit.pool(),
        unit.running(),
        draining || requests.containsKey(unit.vm()),
        load,
        Math.max(1, capacity));
  }

  private long quietMillis(
      String poolName,
      List<ScalingPolicy.UpstreamStatus> statuses,
      ScalingPolicy.Thresholds thresholds) {
    int load =
        statuses.stream()
            .filter(ScalingPolicy.UpstreamStatus::running)
            .mapToInt(ScalingPolicy.UpstreamStatus::load)
            .sum();
    int capacity =
        statuses.stream()
            .filter(ScalingPolicy.UpstreamStatus::running)
            .mapToInt(ScalingPolicy.UpstreamStatus::capacity)
            .sum();
    long nowMillis = timer.nowMillis();
    if (load >= thresholds.stopBelowLoad() * capacity) {
      lastBusyMillis.put(poolName, nowMillis);
    }
    return nowMillis - lastBusyMillis.computeIfAbsent(poolName, ignored -> nowMillis);
  }

  private void execute(ScalingPolicy.Action action) {
    switch (action) {
      case ScalingPolicy.Action.Start(String vm) -> sendPowerOrder(OrderRow.Action.START, vm);
      case ScalingPolicy.Action.Stop(String vm) -> stop(vm, true);
    }
  }

  /** Drains a VM and stops it once no request is running; returns whether the VM is stopped. */
  private boolean stop(String vm, boolean running) {
    if (!running) {
      return true;
    }
    if (!drain(vm)) {
      return false;
    }
    boolean isIdle =
        pool.link(vm)
            .map(link -> link.load().getDraining() && link.load().getRunning() == 0)
            .orElse(true);
    return isIdle && sendPowerOrder(OrderRow.Action.STOP, vm);
  }

  private boolean sendPowerOrder(OrderRow.Action action, String vm) {
    Optional<LeaseManager.Held> held = lease.held();
    if (held.isEmpty()) {
      return false;
    }
    Optional<FencedSender.Claimed> claimed = sender.claim(held.get(), action, vm);
    if (claimed.isEmpty()) {
      return false;
    }
    if (lease.held().isEmpty()) {
      sender.conclude(claimed.get(), OrderRow.State.DONE);
      return false;
    }
    logger.atInfo().log(
        "power order zone=%s action=%s vm=%s epoch=%d", zone, action, vm, held.get().epoch());
    PowerControl.OrderResult answer = power.send(zone, claimed.get().order());
    metrics.counter("limpetvale.power.orders", "action", action.name()).increment();
    return switch (answer) {
      case PowerControl.OrderResult.Accepted() -> {
        sender.conclude(claimed.get(), OrderRow.State.DONE);
        yield true;
      }
      case PowerControl.OrderResult.Refused(String detail) -> {
        logger.atWarning().log("power order refused vm=%s: %s", vm, detail);
        sender.conclude(claimed.get(), OrderRow.State.DONE);
        yield false;
      }
      case PowerControl.OrderResult.Unknown(String detail) -> {
        logger.atWarning().log("power order unknown vm=%s: %s", vm, detail);
        sender.conclude(claimed.get(), OrderRow.State.UNKNOWN);
        yield false;
      }
    };
  }

  private boolean drain(String vm) {
    return sendSidecarOrder(vm, OrderRequest.newBuilder().setDrain(Drain.getDefaultInstance()));
  }

  private boolean undrain(String vm) {
    return sendSidecarOrder(vm, OrderRequest.newBuilder().setUndrain(Undrain.getDefaultInstance()));
  }

  private boolean sendSidecarOrder(String vm, OrderRequest.Builder request) {
    Optional<LeaseManager.Held> held = lease.held();
    Optional<SidecarLink> link = pool.link(vm);
    if (held.isEmpty() || link.isEmpty()) {
      return false;
    }
    try {
      OrderReply reply =
          link.get()
              .sendOrder(
                  request
                      .setOrderId(held.get().duty() + "." + held.get().epoch())
                      .setEpoch(held.get().epoch())
                      .setDuty(held.get().duty())
                      .build());
      return reply.getApplied();
    } catch (StatusRuntimeException e) {
      logger.atInfo().log("order to the sidecar of %s failed: %s", vm, e.getStatus());
      return false;
    }
  }
}
