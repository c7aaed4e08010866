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
 * Counts the requests of a service that are in flight or queued at all entries.
 *
 * @param fleet supplies the known upstreams
 * @param loads this entry's load on each upstream
 * @param peers load reported by the other entries
 * @param waiting supplies the number of requests queued at this entry, by service
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

  /** Returns the current demand for a service, in requests. */
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

  /** Returns the number of ready upstreams of a service that have named a limit. */
  int limitedUpstreams(String service) {
    return (int)
        fleet.get().ready(service).stream()
            .filter(each -> loads.state(each).limit().isInForce())
            .count();
  }
}
