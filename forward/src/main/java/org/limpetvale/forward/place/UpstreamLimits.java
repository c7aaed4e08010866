package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.ColdStart;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.limit.OwnTurns;
import org.limpetvale.core.limit.ReturnSchedule;
import org.limpetvale.core.limit.SendTurns;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;

/**
 * How many requests upstreams accept from this entry: its part of the limits that they name for all
 * entries together, and the pauses that they ask it for. Must only be used on the event loop.
 *
 * <p>Every request to an upstream counts, also retries and requests that the upstream refuses. An
 * entry hears of a limit from responses to its own requests and from the reports of the others.
 */
public final class UpstreamLimits {
  private static final long MIN_RETURN_MILLIS = 200;
  private static final long MAX_RETURN_MILLIS = 10_000;

  /** Time after which a turn at a cold upstream has lapsed if no connection has opened. */
  private static final long TURN_VALIDITY_MILLIS = 150;

  private final UpstreamStates states;
  private final String self;
  private final Supplier<List<String>> entries;
  private final LongSupplier fleetMillis;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, ReturnSchedule> returnsByService = new HashMap<>();
  private Function<String, Optional<ColdStart>> coldStarts = service -> Optional.empty();
  private ColdStart.Bounds coldBounds = ColdStart.Bounds.STRICT;

  private UpstreamLimits(
      UpstreamStates states,
      String self,
      Supplier<List<String>> entries,
      LongSupplier fleetMillis,
      TimerService timer,
      EventLog log) {
    this.states = Objects.requireNonNull(states, "states is null");
    this.self = Objects.requireNonNull(self, "self is null");
    this.entries = Objects.requireNonNull(entries, "entries is null");
    this.fleetMillis = Objects.requireNonNull(fleetMillis, "fleetMillis is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns limits of upstreams that have not named any.
   *
   * @param states states of the upstreams
   * @param self id of this entry
   * @param entries supplies the ids of the entries that share the limits, the same list until they
   *     change
   * @param fleetMillis supplies the time of day that all entries agree on
   */
  public static UpstreamLimits of(
      UpstreamStates states,
      String self,
      Supplier<List<String>> entries,
      LongSupplier fleetMillis,
      TimerService timer,
      EventLog log) {
    return new UpstreamLimits(states, self, entries, fleetMillis, timer, log);
  }

  /**
   * Records what a response says about the limit of its upstream.
   *
   * @param sentMillis monotonic time at which its request was sent
   */
  public void responseReceived(Upstream upstream, StatedLimit stated, long sentMillis) {
    UpstreamState state = states.state(upstream);
    if (stated instanceof StatedLimit.Unreadable(String text)) {
      logUnreadable(state, text);
      return;
    }
    if (stated instanceof StatedLimit.None && !state.limit().isInForce()) {
      return;
    }
    long nowFleetMillis = fleetMillis.getAsLong();
    long sentFleetMillis = nowFleetMillis - (timer.nowMillis() - sentMillis);
    LimitNotice next = state.limit().afterResponse(stated, sentFleetMillis, nowFleetMillis);
    state.setOwnNotice(next);
    change(state, next, "response");
  }

  /** Records the notices that another entry has heard from upstreams. */
  public void peerReported(PeerReport report, FleetView fleet) {
    report
        .limits()
        .forEach(
            (id, limit) ->
                fleet
                    .find(id)
                    .filter(upstream -> upstream.startedMillis() == limit.startedMillis())
                    .map(states::state)
                    .ifPresent(
                        state ->
                            change(state, state.limit().laterOf(limit.notice()), report.writer())));
  }

  /** Returns the notices that this entry has recently heard itself, by upstream. */
  public Map<String, PeerReport.Limit> recentNotices() {
    long sinceMillis = fleetMillis.getAsLong() - UpstreamNotices.REPORTED_MILLIS;
    Map<String, PeerReport.Limit> recent = new HashMap<>();
    states.forEach(
        state -> {
          LimitNotice own = state.ownNotice();
          if (own.statedAtMillis() >= sinceMillis) {
            Upstream upstream = state.upstream();
            recent.put(upstream.id(), new PeerReport.Limit(own, upstream.startedMillis()));
          }
        });
    return recent;
  }

  /**
   * Sets what limits the requests to cold upstreams.
   *
   * @param byService supplies what the upstreams of a service bear; empty for all requests
   * @param bounds how far all entries together may exceed that
   */
  public void setColdStarts(
      Function<String, Optional<ColdStart>> byService, ColdStart.Bounds bounds) {
    coldStarts = Objects.requireNonNull(byService, "byService is null");
    coldBounds = Objects.requireNonNull(bounds, "bounds is null");
  }

  /**
   * Records how long an upstream is still cold, as it has just said itself.
   *
   * @param statedMillis that time; negative if the upstream said nothing readable
   */
  public void coldStated(Upstream upstream, long statedMillis) {
    Optional<ColdStart> coldStart = coldStarts.apply(upstream.service());
    long millis =
        coldStart.isPresent()
            ? coldStart
                .get()
                .remainingMillis(statedMillis, upstream.startedMillis(), fleetMillis.getAsLong())
            : Math.max(0, statedMillis);
    if (millis > 0) {
      extendCold(states.state(upstream), millis, coldStart);
    }
  }

  private void extendCold(UpstreamState state, long millis, Optional<ColdStart> coldStart) {
    long nowMillis = timer.nowMillis();
    boolean begins = !state.isCold(nowMillis);
    state.extendCold(nowMillis + millis, nowMillis);
    if (begins) {
      log.stateChange(
          "upstream_cold",
          field("upstream", state.upstream().id()),
          field("service", state.upstream().service()),
          field("zone", state.upstream().zone()),
          field("millis", millis),
          field("requestsPerSecond", coldStart.map(each -> each.sendRate(coldBounds)).orElse(-1.0)),
          field("entries", entries.get().size()));
    }
  }

  /** Returns the number of upstreams that are cold. */
  public int coldUpstreams() {
    int[] count = {0};
    states.forEach(state -> count[0] += state.isCold(timer.nowMillis()) ? 1 : 0);
    return count[0];
  }

  /**
   * Returns whether a request that was placed on an upstream must not be sent there any more,
   * because the upstream became cold since, or this entry's turn at the cold upstream has lapsed.
   *
   * @param placedMillis monotonic time at which it was placed
   */
  public boolean hasTurnLapsed(Upstream upstream, long placedMillis) {
    UpstreamState state = states.state(upstream);
    return coldRate(state).isPresent()
        && (placedMillis < state.coldSinceMillis()
            || timer.nowMillis() - placedMillis > TURN_VALIDITY_MILLIS);
  }

  /** Returns the rate at which all entries together may send to an upstream that is cold. */
  private OptionalDouble coldRate(UpstreamState state) {
    if (!state.isCold(timer.nowMillis())) {
      return OptionalDouble.empty();
    }
    Optional<ColdStart> coldStart = coldStarts.apply(state.upstream().service());
    return coldStart.isPresent()
        ? OptionalDouble.of(coldStart.get().sendRate(coldBounds))
        : OptionalDouble.empty();
  }

  /** Returns the turns of all entries for the lower of an upstream's limits; empty without one. */
  private Optional<SendTurns> turns(UpstreamState state) {
    String id = state.upstream().id();
    OptionalDouble named = state.limit().requestsPerSecond();
    OptionalDouble cold = coldRate(state);
    if (cold.isPresent()) {
      double lower = Math.min(cold.getAsDouble(), named.orElse(Double.MAX_VALUE));
      return Optional.of(SendTurns.ofSingleRequests(id, lower));
    }
    return named.isPresent()
        ? Optional.of(new SendTurns(id, named.getAsDouble()))
        : Optional.empty();
  }

  /** Returns whether a limit of an upstream is in force. */
  public boolean isLimited(Upstream upstream) {
    return turns(states.state(upstream)).isPresent();
  }

  /** Returns whether this entry may send a request to an upstream now. */
  public boolean maySend(Upstream upstream) {
    UpstreamState state = states.state(upstream);
    if (!state.wantsRequest(timer.nowMillis())) {
      return false;
    }
    Optional<SendTurns> turns = turns(state);
    if (turns.isEmpty()) {
      return true;
    }
    long nowFleetMillis = fleetMillis.getAsLong();
    OwnTurns own = state.ownTurns(self, entries.get(), turns.get());
    return own.allowedSoFar(nowFleetMillis) > sentInTurn(state, own, nowFleetMillis);
  }

  /**
   * Returns how many requests this entry may send until a time to upstreams that accept none now.
   *
   * @param untilMillis monotonic time
   */
  public int allowedUntil(List<Upstream> upstreams, long untilMillis) {
    long offsetMillis = fleetMillis.getAsLong() - timer.nowMillis();
    return upstreams.stream()
        .mapToInt(each -> allowedUntil(states.state(each), untilMillis, offsetMillis))
        .sum();
  }

  private int allowedUntil(UpstreamState state, long untilMillis, long offsetMillis) {
    long fromMillis = Math.max(timer.nowMillis(), state.askedPauseUntilMillis());
    if (fromMillis >= untilMillis) {
      return 0;
    }
    Optional<SendTurns> turns = turns(state);
    if (turns.isEmpty()) {
      return Math.max(1, state.upstream().slots() / Math.max(1, entries.get().size()));
    }
    OwnTurns own = state.ownTurns(self, entries.get(), turns.get());
    int sent = sentInTurn(state, own, fromMillis + offsetMillis);
    return own.allowedUntil(fromMillis + offsetMillis, untilMillis + offsetMillis, sent);
  }

  /**
   * Returns the time after which a caller should return that was refused because no upstream
   * accepts requests at present.
   *
   * @param service service of the request
   * @param upstreams upstreams that could take the request
   * @param waiting requests for the service that wait at this entry
   */
  public long returnAfterMillis(String service, List<Upstream> upstreams, int waiting) {
    long nowMillis = timer.nowMillis();
    long earliestMillis = Long.MAX_VALUE;
    double fleetPerSecond = 0;
    for (Upstream upstream : upstreams) {
      UpstreamState state = states.state(upstream);
      earliestMillis = Math.min(earliestMillis, state.askedPauseUntilMillis());
      fleetPerSecond +=
          turns(state).map(SendTurns::requestsPerSecond).orElse((double) upstream.slots());
    }
    double ownPerSecond = fleetPerSecond / Math.max(1, entries.get().size());
    return returnsByService
        .computeIfAbsent(service, name -> ReturnSchedule.of(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS))
        .returnAfterMillis(nowMillis, earliestMillis, ownPerSecond, waiting);
  }

  private int sentInTurn(UpstreamState state, OwnTurns own, long nowFleetMillis) {
    double elapsedMillis = own.turns().elapsedMillis(nowFleetMillis);
    return state.sendsSince(timer.nowMillis() - (long) Math.floor(elapsedMillis));
  }

  private void change(UpstreamState state, LimitNotice next, String source) {
    LimitNotice known = state.limit();
    state.setLimit(next);
    if (next.requestsPerSecond().equals(known.requestsPerSecond())) {
      return;
    }
    log.stateChange(
        "upstream_limit_changed",
        field("upstream", state.upstream().id()),
        field("service", state.upstream().service()),
        field("requestsPerSecond", next.requestsPerSecond().orElse(-1)),
        field("previous", known.requestsPerSecond().orElse(-1)),
        field("source", source),
        field("entries", entries.get().size()),
        field("ownSends", state.limitUse(timer.nowMillis()).recentSends()));
  }

  private void logUnreadable(UpstreamState state, String text) {
    if (state.unreadableLimitReceived()) {
      log.stateChange(
          "upstream_limit_unreadable",
          field("upstream", state.upstream().id()),
          field("text", text));
    }
  }
}
