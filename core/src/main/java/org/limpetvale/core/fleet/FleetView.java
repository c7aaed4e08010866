package org.limpetvale.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** An immutable snapshot of the known upstreams, by id and by service. */
public final class FleetView {
  private static final FleetView EMPTY = new FleetView(Map.of(), Set.of());

  private final Map<String, Upstream> byId;
  private final Set<String> evacuatedZones;
  private final Map<String, List<Upstream>> readyByService;
  private final Map<String, List<Upstream>> acceptingByService;

  private FleetView(Map<String, Upstream> byId, Set<String> evacuatedZones) {
    this.byId = byId;
    this.evacuatedZones = evacuatedZones;
    this.readyByService =
        byId.values().stream()
            .filter(upstream -> !upstream.draining())
            .sorted(Comparator.comparing(Upstream::id))
            .collect(Collectors.groupingBy(Upstream::service));
    this.acceptingByService =
        evacuatedZones.isEmpty() ? readyByService : withoutEvacuated(readyByService);
  }

  private Map<String, List<Upstream>> withoutEvacuated(Map<String, List<Upstream>> ready) {
    return ready.values().stream()
        .flatMap(List::stream)
        .filter(upstream -> !isEvacuated(upstream))
        .collect(Collectors.groupingBy(Upstream::service));
  }

  /** Returns a view without upstreams. */
  public static FleetView empty() {
    return EMPTY;
  }

  /** Returns a view of the given upstreams. */
  public static FleetView of(Collection<Upstream> upstreams) {
    return new FleetView(
        upstreams.stream().collect(Collectors.toMap(Upstream::id, upstream -> upstream)), Set.of());
  }

  /** Returns this view with an upstream added or replaced. */
  public FleetView with(Upstream upstream) {
    Objects.requireNonNull(upstream, "upstream is null");
    Map<String, Upstream> next = new HashMap<>(byId);
    next.put(upstream.id(), upstream);
    return new FleetView(next, evacuatedZones);
  }

  /** Returns this view without the upstream with the given id. */
  public FleetView without(String id) {
    if (!byId.containsKey(id)) {
      return this;
    }
    Map<String, Upstream> next = new HashMap<>(byId);
    next.remove(id);
    return new FleetView(next, evacuatedZones);
  }

  /** Returns this view with other evacuated zones, to whose upstreams nothing may be sent. */
  public FleetView withEvacuatedZones(Set<String> zones) {
    return zones.equals(evacuatedZones) ? this : new FleetView(byId, Set.copyOf(zones));
  }

  /** Returns whether nothing may be sent to an upstream because its zone is evacuated. */
  public boolean isEvacuated(Upstream upstream) {
    return evacuatedZones.contains(upstream.zone());
  }

  /**
   * Returns whether requests may be sent to an upstream: its process is still known, is not
   * draining and is in no evacuated zone.
   */
  public boolean accepts(Upstream upstream) {
    return find(upstream.id())
        .filter(now -> !now.draining() && now.isSameProcess(upstream) && !isEvacuated(now))
        .isPresent();
  }

  /** Returns the upstream with the given id. */
  public Optional<Upstream> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the upstreams of a service to which requests may be sent, ordered by id. */
  public List<Upstream> accepting(String service) {
    return acceptingByService.getOrDefault(service, List.of());
  }

  /**
   * Returns the upstreams of a service that are not draining, ordered by id, also those of
   * evacuated zones.
   */
  public List<Upstream> ready(String service) {
    return readyByService.getOrDefault(service, List.of());
  }

  /** Returns all upstreams. */
  public Collection<Upstream> all() {
    return List.copyOf(byId.values());
  }
}
