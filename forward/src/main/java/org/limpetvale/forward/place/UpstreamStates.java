package org.limpetvale.forward.place;

import java.util.HashMap;
import java.util.Map;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.UpstreamLatencyRatio;
import org.limpetvale.forward.peer.PeerReport;

/** The states of all upstream processes that this entry knows of; for the event loop only. */
public final class UpstreamStates {
  /** Answers after which one says little of how fast the upstreams of a service are now. */
  private static final double PACE_SAMPLES = 200;

  private final Map<String, UpstreamState> states = new HashMap<>();

  /** The pace of all upstreams of each service. */
  private final Map<String, UpstreamLatencyRatio> paces = new HashMap<>();

  private UpstreamStates() {}

  /** Returns a book without upstreams. */
  public static UpstreamStates empty() {
    return new UpstreamStates();
  }

  /** Returns the state of an upstream; a new process under an old id starts afresh. */
  public UpstreamState state(Upstream upstream) {
    UpstreamState known = states.get(upstream.id());
    if (known != null && known.upstream().isSameProcess(upstream)) {
      known.updateDescription(upstream);
      return known;
    }
    UpstreamLatencyRatio pace =
        paces.computeIfAbsent(upstream.service(), name -> UpstreamLatencyRatio.empty(PACE_SAMPLES));
    UpstreamState fresh = new UpstreamState(upstream, pace);
    states.put(upstream.id(), fresh);
    return fresh;
  }

  /** Forgets the upstreams that a view does not hold. */
  public void retainAll(FleetView view) {
    states.keySet().removeIf(id -> view.find(id).isEmpty());
  }

  /** Returns what this entry knows of each upstream where it has or had anything, by id. */
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

  /** Returns the streams with a short gap target that this entry has open. */
  public int tightStreams() {
    return states.values().stream().mapToInt(UpstreamState::tightStreams).sum();
  }
}
