package org.limpetvale.forward.place;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.UpstreamLatencyRatio;
import org.limpetvale.forward.peer.PeerReport;

/**
 * The states of all upstream processes that this entry knows. Must only be used on the event loop.
 */
public final class UpstreamStates {
  /**
   * Number of responses after which the weight of an earlier one in the latency ratio has fallen to
   * a third.
   */
  private static final double LATENCY_RATIO_SAMPLES = 200;

  /** Time for which the state of an upstream is kept after it was last in the view. */
  private static final long RETENTION_MILLIS = 60_000;

  private final Map<String, UpstreamState> states = new HashMap<>();

  /** When the upstreams that are not in the view were first missing, by id. */
  private final Map<String, Long> missingSinceMillis = new HashMap<>();

  /** The latency ratio of all upstreams of a service together, by service. */
  private final Map<String, UpstreamLatencyRatio> latencyRatios = new HashMap<>();

  private UpstreamStates() {}

  /** Returns an instance without upstreams. */
  public static UpstreamStates empty() {
    return new UpstreamStates();
  }

  /** Returns the state of an upstream. A new process under a known id starts with a fresh state. */
  public UpstreamState state(Upstream upstream) {
    UpstreamState known = states.get(upstream.id());
    if (known != null && known.upstream().isSameProcess(upstream)) {
      known.updateDescription(upstream);
      return known;
    }
    UpstreamLatencyRatio latencyRatio =
        latencyRatios.computeIfAbsent(
            upstream.service(), name -> UpstreamLatencyRatio.empty(LATENCY_RATIO_SAMPLES));
    UpstreamState fresh = new UpstreamState(upstream, latencyRatio);
    states.put(upstream.id(), fresh);
    return fresh;
  }

  /**
   * Removes the state of the upstreams that have not been in the view for a time. An upstream whose
   * row lapsed or could not be read comes back as the same process, which what it has said of
   * itself still holds for.
   *
   * @param nowMillis monotonic time
   */
  public void retainAll(FleetView view, long nowMillis) {
    for (String id : states.keySet()) {
      if (view.find(id).isPresent()) {
        missingSinceMillis.remove(id);
      } else {
        missingSinceMillis.putIfAbsent(id, nowMillis);
      }
    }
    missingSinceMillis.values().removeIf(since -> nowMillis - since > RETENTION_MILLIS);
    states.keySet().removeIf(id -> view.find(id).isEmpty() && !missingSinceMillis.containsKey(id));
  }

  /**
   * Returns this entry's own load on each upstream by id, without upstreams that have nothing to
   * report.
   */
  public Map<String, PeerReport.Load> ownLoads(long nowMillis) {
    Map<String, PeerReport.Load> own = new HashMap<>();
    states.forEach(
        (id, state) -> {
          PeerReport.Load load = state.ownLoad(nowMillis);
          if (!load.equals(PeerReport.Load.NONE)) {
            own.put(id, load);
          }
        });
    return own;
  }

  /** Performs an action for the state of each upstream. */
  void forEach(Consumer<UpstreamState> action) {
    states.values().forEach(action);
  }

  /** Returns the number of upstreams that have named a limit. */
  public int limitedUpstreams() {
    return (int)
        states.entrySet().stream()
            .filter(each -> !missingSinceMillis.containsKey(each.getKey()))
            .filter(each -> each.getValue().limit().isInForce())
            .count();
  }

  /** Returns the number of upstreams that this entry knows to be lastingly faster or slower. */
  public int unusualSpeedUpstreams() {
    return (int)
        states.entrySet().stream()
            .filter(each -> !missingSinceMillis.containsKey(each.getKey()))
            .filter(each -> each.getValue().lastingSpeed(PeerReport.Load.NONE) != 1)
            .count();
  }

  /** Returns the number of open streams with a short gap target at this entry. */
  public int tightStreams() {
    return states.values().stream().mapToInt(UpstreamState::tightStreams).sum();
  }
}
