package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.accept.RequestHandler;
import org.limpetvale.forward.accept.ResponseWriter;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.admit.CrashGuard;
import org.limpetvale.forward.admit.WaitingRequests;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.place.Placer;
import org.limpetvale.forward.route.Planner;
import org.limpetvale.forward.spi.HeaderCodec;

/** Serves requests by forwarding them to upstreams. */
public final class Forwarder implements RequestHandler {

  /** The components that an exchange uses. */
  record Components(
      Planner planner,
      CrashGuard crashGuard,
      WaitingRequests waitingRequests,
      Placer placer,
      UpstreamPool upstreamPool,
      HeaderCodec headerCodec,
      Supplier<FleetView> fleet,
      RetryBudgets retryBudgets,
      UsageCounts usageCounts,
      ForwardMetrics metrics,
      EventLog log,
      TimerService timer,
      PlannedStop plannedStop) {}

  private final Components components;
  private final Set<Exchange> active = new LinkedHashSet<>();

  private Forwarder(Components components) {
    this.components = components;
  }

  /**
   * Creates a forwarder.
   *
   * @param fleet supplies the current view of the known upstreams
   */
  public static Forwarder of(
      Transport transport,
      Planner planner,
      CrashGuard crashGuard,
      Placer placer,
      HeaderCodec headerCodec,
      Supplier<FleetView> fleet,
      RetryBudgets retryBudgets,
      UsageCounts usageCounts,
      ForwardMetrics metrics,
      EventLog log,
      TimerService timer) {
    UpstreamPool pool = new UpstreamPool(transport, headerCodec, timer);
    return new Forwarder(
        new Components(
            planner,
            crashGuard,
            WaitingRequests.of(timer),
            placer,
            pool,
            headerCodec,
            fleet,
            retryBudgets,
            usageCounts,
            metrics,
            log,
            timer,
            new PlannedStop()));
  }

  @Override
  public ActiveRequest handle(IncomingRequest request, ResponseWriter responseWriter) {
    Objects.requireNonNull(request, "request is null");
    Exchange exchange = new Exchange(components, request, responseWriter, active::remove);
    active.add(exchange);
    exchange.start();
    return exchange;
  }

  @Override
  public void requestDropped(HttpRequest head, String cause) {
    ExchangeLog.of(components, components.headerCodec().decodeRequest(head.headers()))
        .dropped(cause);
  }

  /** Returns the number of requests being served. */
  public int activeRequests() {
    return active.size();
  }

  /**
   * Begins a planned stop.
   *
   * @param signalMillis when this entry was told to stop, on the monotonic clock
   * @param deregisteredMillis when the load balancer sends no more callers, on the monotonic clock
   * @param endMillis when this entry ends what is still running, on the monotonic clock
   */
  public void beginStop(long signalMillis, long deregisteredMillis, long endMillis) {
    components.plannedStop().begin(signalMillis, deregisteredMillis, endMillis);
  }

  /** From now on, sends nothing to upstreams; requests that are not at one are refused. */
  public void stopSending() {
    components.plannedStop().stopSending();
    List.copyOf(active).forEach(Exchange::onSendingStopped);
  }

  /** Answers all requests whose answers have not begun, as this entry is about to end. */
  public void answerAll() {
    stopSending();
    List.copyOf(active).forEach(Exchange::onEntryEnding);
  }

  /** Logs the requests whose responses this entry's end cuts. */
  public void logCutByStop() {
    active.forEach(Exchange::logCutByStop);
  }

  /** Returns the number of requests that wait for upstream capacity, by service. */
  public Map<String, Integer> waiting() {
    return components.waitingRequests().byService();
  }

  /** Retries the placement of waiting requests, as an upstream may have capacity again. */
  public void retryWaiting() {
    components.waitingRequests().wake();
  }

  /** Discards connections and state of removed upstreams and retries the waiting requests. */
  public void fleetChanged(FleetView view) {
    components.upstreamPool().retainOnly(view);
    components.crashGuard().fleetChanged(view);
    components.placer().upstreamStates().retainAll(view, components.timer().nowMillis());
    components.waitingRequests().wake();
  }
}
