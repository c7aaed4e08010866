package org.limpetvale.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/** An immutable snapshot of the known upstreams, by id and by service. */
public final class FleetView {
  private static final FleetView EMPTY = new FleetView(Map.of());

  private final Map<String, Upstream> byId;
  private final Map<String, List<Upstream>> readyByService;

  private FleetView(Map<String, Upstream> byId) {
    this.byId = byId;
    this.readyByService =
        byId.values().stream()
            .filter(upstream -> !upstream.draining())
            .sorted(Comparator.comparing(Upstream::id))
            .collect(Collectors.groupingBy(Upstream::service));
  }

  /** Returns a view without upstreams. */
  public static FleetView empty() {
    return EMPTY;
  }

  /** Returns a view of the given upstreams. */
  public static FleetView of(Collection<Upstream> upstreams) {
    return new FleetView(
        upstreams.stream().collect(Collectors.toMap(Upstream::id, upstream -> upstream)));
  }

  /** Returns this view with an upstream added or replaced. */
  public FleetView with(Upstream upstream) {
    Objects.requireNonNull(upstream, "upstream is null");
    Map<String, Upstream> next = new HashMap<>(byId);
    next.put(upstream.id(), upstream);
    return new FleetView(next);
  }

  /** Returns this view without the upstream with the given id. */
  public FleetView without(String id) {
    if (!byId.containsKey(id)) {
      return this;
    }
    Map<String, Upstream> next = new HashMap<>(byId);
    next.remove(id);
    return new FleetView(next);
  }

  /** Returns the upstream with the given id. */
  public Optional<Upstream> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the upstreams of a service that accept new requests, ordered by id. */
  public List<Upstream> ready(String service) {
    return readyByService.getOrDefault(service, List.of());
  }

  /** Returns all upstreams. */
  public Collection<Upstream> all() {
    return List.copyOf(byId.values());
  }
}
