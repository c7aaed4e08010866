package org.limpetvale.forward.relay;

import java.util.Map;
import java.util.Objects;
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

/** Serves requests by passing them on to upstreams. */
public final class Forwarder implements RequestHandler {

  /** The filters and books that an exchange uses. */
  record Components(
      Planner planner,
      CrashGuard crashGuard,
      WaitingRequests waitingRequests,
      Placer placer,
      UpstreamPool connectionPool,
      HeaderCodec dialect,
      Supplier<FleetView> fleet,
      RetryBudgets retryBudgets,
      UsageCounts usageCounts,
      ForwardMetrics metrics,
      EventLog log,
      TimerService timer) {}

  private final Components components;
  private int activeRequests;

  private Forwarder(Components parts) {
    this.components = parts;
  }

  /**
   * Returns a forwarder.
   *
   * @param fleet the upstreams that are known
   */
  public static Forwarder of(
      Transport transport,
      Planner planner,
      CrashGuard crashes,
      Placer placer,
      HeaderCodec dialect,
      Supplier<FleetView> fleet,
      RetryBudgets budgets,
      UsageCounts usage,
      ForwardMetrics metrics,
      EventLog log,
      TimerService timer) {
    UpstreamPool pool = new UpstreamPool(transport, dialect, timer);
    return new Forwarder(
        new Components(
            planner,
            crashes,
            WaitingRequests.of(timer),
            placer,
            pool,
            dialect,
            fleet,
            budgets,
            usage,
            metrics,
            log,
            timer));
  }

  @Override
  public ActiveRequest handle(IncomingRequest input, ResponseWriter link) {
    Objects.requireNonNull(input, "input is null");
    activeRequests++;
    Exchange exchange = new Exchange(components, input, link, () -> activeRequests--);
    exchange.start();
    return exchange;
  }

  /** Returns the number of requests that are being served. */
  public int activeRequests() {
    return activeRequests;
  }

  /** Returns the number of requests that wait for room at an upstream, by service. */
  public Map<String, Integer> waiting() {
    return components.waitingRequests().byService();
  }

  /** Tries the requests that wait, as there may be room at an upstream. */
  public void retryWaiting() {
    components.waitingRequests().wake();
  }

  /** Lets go of what belongs to upstreams that are gone. */
  public void fleetChanged(FleetView view) {
    components.connectionPool().retainOnly(view);
    components.crashGuard().fleetChanged(view);
    components.placer().upstreamStates().retainAll(view);
    components.waitingRequests().wake();
  }
}
