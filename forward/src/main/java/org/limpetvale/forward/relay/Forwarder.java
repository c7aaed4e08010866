package org.limpetvale.forward.relay;

import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.CallerLink;
import org.limpetvale.forward.accept.Exchanges;
import org.limpetvale.forward.accept.RequestInput;
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
public final class Forwarder implements Exchanges {

  /** The filters and books that an exchange uses. */
  record Parts(
      Planner planner,
      CrashGuard crashes,
      WaitingRequests waiting,
      Placer placer,
      UpstreamPool pool,
      HeaderCodec dialect,
      Supplier<FleetView> fleet,
      RetryBudgets budgets,
      UsageCounts usage,
      ForwardMetrics metrics,
      EventLog log,
      TimerService timer) {}

  private final Parts parts;
  private int running;

  private Forwarder(Parts parts) {
    this.parts = parts;
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
        new Parts(
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
  public Running begin(RequestInput input, CallerLink link) {
    Objects.requireNonNull(input, "input is null");
    running++;
    Exchange exchange = new Exchange(parts, input, link, () -> running--);
    exchange.start();
    return exchange;
  }

  /** Returns the number of requests that are being served. */
  public int running() {
    return running;
  }

  /** Returns the number of requests that wait for room at an upstream, by service. */
  public Map<String, Integer> waiting() {
    return parts.waiting().byService();
  }

  /** Tries the requests that wait, as there may be room at an upstream. */
  public void wakeWaiting() {
    parts.waiting().wake();
  }

  /** Lets go of what belongs to upstreams that are gone. */
  public void fleetChanged(FleetView view) {
    parts.pool().keepOnly(view);
    parts.crashes().fleetChanged(view);
    parts.placer().loads().keepOnly(view);
    parts.waiting().wake();
  }
}
