package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;

/**
 * The limits that upstreams name for the requests of all entries together. Must only be used on the
 * event loop.
 */
public final class UpstreamLimits {
  private final UpstreamStates states;
  private final LongSupplier fleetMillis;
  private final TimerService timer;
  private final EventLog log;

  private UpstreamLimits(
      UpstreamStates states, LongSupplier fleetMillis, TimerService timer, EventLog log) {
    this.states = Objects.requireNonNull(states, "states is null");
    this.fleetMillis = Objects.requireNonNull(fleetMillis, "fleetMillis is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns limits of upstreams that have not named any.
   *
   * @param states states of the upstreams
   * @param fleetMillis supplies the time of day that all entries agree on
   */
  public static UpstreamLimits of(
      UpstreamStates states, LongSupplier fleetMillis, TimerService timer, EventLog log) {
    return new UpstreamLimits(states, fleetMillis, timer, log);
  }

  /**
   * Records what a response says about the limit of its upstream.
   *
   * @param sentMillis monotonic time at which its request was sent
   */
  public void responseReceived(Upstream upstream, StatedLimit stated, long sentMillis) {
    UpstreamState state = states.state(upstream);
    LimitNotice known = state.limit();
    if (stated instanceof StatedLimit.Unreadable(String text)) {
      if (state.unreadableLimitReceived()) {
        log.stateChange(
            "upstream_limit_unreadable", field("upstream", upstream.id()), field("text", text));
      }
      return;
    }
    long nowFleetMillis = fleetMillis.getAsLong();
    long sentFleetMillis = nowFleetMillis - (timer.nowMillis() - sentMillis);
    LimitNotice next = known.afterResponse(stated, sentFleetMillis, nowFleetMillis);
    state.setLimit(next);
    logChange(upstream, known, next, "response");
  }

  private void logChange(Upstream upstream, LimitNotice known, LimitNotice next, String source) {
    if (next.requestsPerSecond().equals(known.requestsPerSecond())) {
      return;
    }
    log.stateChange(
        "upstream_limit_changed",
        field("upstream", upstream.id()),
        field("service", upstream.service()),
        field("requestsPerSecond", next.requestsPerSecond().orElse(-1)),
        field("previous", known.requestsPerSecond().orElse(-1)),
        field("source", source),
        field("ownSends", states.state(upstream).recentSends(timer.nowMillis())));
  }
}
