package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.StatedPause;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.spi.UpstreamNotice;

/**
 * Applies what upstreams state about themselves in their responses, and spreads what the other
 * entries need to know. Must only be used on the event loop.
 *
 * <p>A statement holds for the process that made it. An upstream that has stated that it is leaving
 * gets no further requests, even if its row still says that it is ready.
 */
public final class UpstreamNotices {
  /** Time for which a notice is reported to the other entries, to make up for lost reports. */
  static final long REPORTED_MILLIS = 2_000;

  private final UpstreamStates states;
  private final UpstreamLimits limits;
  private final TimerService timer;
  private final EventLog log;

  /** Share of a pause by which it is lengthened at random, so that entries return one by one. */
  private static final double MAX_LENGTHENING_SHARE = 0.2;

  private static final long MAX_LENGTHENING_MILLIS = 1_000;

  private final DoubleSupplier random;
  private boolean usesStatedSpeeds;

  /** When upstreams that are leaving were last heard to say so by this entry, by id. */
  private final Map<String, Long> leavingHeardMillis = new HashMap<>();

  private UpstreamNotices(
      UpstreamStates states,
      UpstreamLimits limits,
      DoubleSupplier random,
      TimerService timer,
      EventLog log) {
    this.random = Objects.requireNonNull(random, "random is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns an instance that has not received any notices.
   *
   * @param limits receives the limits
   * @param random supplies random numbers from 0 inclusive to 1 exclusive
   */
  public static UpstreamNotices of(
      UpstreamStates states,
      UpstreamLimits limits,
      DoubleSupplier random,
      TimerService timer,
      EventLog log) {
    return new UpstreamNotices(states, limits, random, timer, log);
  }

  /**
   * Applies a notice from a response.
   *
   * @param sentMillis monotonic time at which the request was sent
   */
  public void responseReceived(Upstream upstream, UpstreamNotice notice, long sentMillis) {
    UpstreamState state = states.state(upstream);
    notice.load().ifPresent(load -> loadReported(state, load));
    limits.responseReceived(upstream, notice.limit(), sentMillis);
    if (notice.coldMillis() > 0) {
      limits.coldStated(upstream, notice.coldMillis());
    }
    applyPause(state, notice.pause(), sentMillis);
    if (notice.leaving()) {
      leavingHeardMillis.put(upstream.id(), timer.nowMillis());
      markLeaving(state, "response");
    }
  }

  private void loadReported(UpstreamState state, UpstreamNotice.Load load) {
    long nowMillis = timer.nowMillis();
    state.loadReported(load, nowMillis);
    if (usesStatedSpeeds) {
      load.slowdown().ifPresent(factor -> state.slowdownStated(factor, nowMillis));
    }
  }

  /** Lets the speed count that upstreams state of their machines; without this, it is ignored. */
  public void useStatedSpeeds() {
    usesStatedSpeeds = true;
  }

  /**
   * Records whether an upstream has refused a request without having run it. Other upstreams are
   * preferred for a time, which grows while it goes on refusing, so that few first attempts are
   * spent on it.
   */
  public void requestAnswered(Upstream upstream, boolean refused) {
    UpstreamState state = states.state(upstream);
    if (refused) {
      state.refused(timer.nowMillis());
    } else {
      state.notRefused();
    }
  }

  private void applyPause(UpstreamState state, StatedPause pause, long sentMillis) {
    long nowMillis = timer.nowMillis();
    long millis = pause.millis(timer.wallMillis());
    if (pause instanceof StatedPause.None) {
      state.requestAccepted(sentMillis);
      return;
    }
    if (millis == 0 || state.isAskedToPause(nowMillis + millis)) {
      return;
    }
    long lengthening =
        (long)
            (random.getAsDouble()
                * Math.min(MAX_LENGTHENING_MILLIS, millis * MAX_LENGTHENING_SHARE));
    boolean newPause = !state.isAskedToPause(nowMillis);
    state.extendAskedPause(nowMillis + millis + lengthening);
    if (newPause) {
      log.stateChange(
          "upstream_asks_for_pause",
          field("upstream", state.upstream().id()),
          field("service", state.upstream().service()),
          field("stated", pause),
          field("millis", millis + lengthening),
          field("ownRequests", state.ownRequests()));
    }
  }

  /** Applies the notices that another entry has received. */
  public void peerReported(PeerReport report, FleetView fleet) {
    limits.peerReported(report, fleet);
    report
        .leaving()
        .forEach(
            (id, startedMillis) ->
                fleet
                    .find(id)
                    .filter(upstream -> upstream.startedMillis() == startedMillis)
                    .ifPresent(upstream -> markLeaving(states.state(upstream), report.writer())));
  }

  /**
   * Returns the start times of the processes that this entry has recently heard to be leaving, by
   * upstream.
   */
  public Map<String, Long> recentlyLeaving() {
    long sinceMillis = timer.nowMillis() - REPORTED_MILLIS;
    leavingHeardMillis.values().removeIf(heard -> heard < sinceMillis);
    Map<String, Long> recent = new HashMap<>();
    states.forEach(
        state -> {
          Upstream upstream = state.upstream();
          if (state.isLeaving() && leavingHeardMillis.containsKey(upstream.id())) {
            recent.put(upstream.id(), upstream.startedMillis());
          }
        });
    return recent;
  }

  /** Returns the limits that upstreams have named. */
  public UpstreamLimits limits() {
    return limits;
  }

  private void markLeaving(UpstreamState state, String source) {
    if (state.isLeaving()) {
      return;
    }
    state.setLeaving();
    log.stateChange(
        "upstream_leaving",
        field("upstream", state.upstream().id()),
        field("service", state.upstream().service()),
        field("source", source),
        field("ownRequests", state.ownRequests()));
  }
}
