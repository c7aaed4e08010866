package org.limpetvale.forward.duty;

import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.place.UpstreamStates;

/**
 * The requests that are under way or wait for a service, at all entries.
 *
 * @param fleet the upstreams that are known
 * @param loads what this entry has at upstreams
 * @param peers what the other entries have told
 * @param waiting requests that wait at this entry, by service
 */
public record Demand(
    Supplier<FleetView> fleet,
    UpstreamStates loads,
    PeerReports peers,
    Supplier<Map<String, Integer>> waiting) {
  public Demand {
    Objects.requireNonNull(fleet, "fleet is null");
    Objects.requireNonNull(loads, "loads is null");
    Objects.requireNonNull(peers, "peers is null");
    Objects.requireNonNull(waiting, "waiting is null");
  }

  /** Returns the demand for a service now. */
  int forService(String service, long nowMillis) {
    Map<String, PeerReport.Load> own = loads.ownLoads(nowMillis);
    int requests = waiting.get().getOrDefault(service, 0) + peers.waitingRequests(service);
    for (Upstream upstream : fleet.get().all()) {
      if (upstream.service().equals(service)) {
        requests += own.getOrDefault(upstream.id(), PeerReport.Load.NONE).requests();
        requests += peers.peerLoad(upstream.id()).requests();
      }
    }
    return requests;
  }
}
