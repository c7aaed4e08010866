package org.limpetvale.entry.upstream;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.limpetvale.core.routing.SubsetSelector;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.Identity;
import org.limpetvale.daemon.TransportSecurity;
import org.limpetvale.ports.Vm;

/** The sidecar links of this entry: a subset of the sidecars of each model and service. */
public final class SidecarPool {
  /** Period at which each link checks its connection and heartbeat, in milliseconds. */
  private static final long MAINTENANCE_PERIOD_MILLIS = 100;

  private final Identity identity;
  private final String entryId;
  private final int sidecarsPerPool;
  private final TransportSecurity security;
  private final TimerService timer;
  private final FlushedRecords usage;
  private final ConfigVersionTracker configVersions;
  private final MeterRegistry metrics;
  private final Map<String, SidecarLink> links = new ConcurrentHashMap<>();

  /** Creates an empty pool. */
  public SidecarPool(
      Identity identity,
      String entryId,
      int sidecarsPerPool,
      TransportSecurity security,
      TimerService timer,
      FlushedRecords usage,
      ConfigVersionTracker configVersions,
      MeterRegistry metrics) {
    this.identity = Objects.requireNonNull(identity, "identity is null");
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.sidecarsPerPool = sidecarsPerPool;
    this.security = Objects.requireNonNull(security, "security is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.configVersions = Objects.requireNonNull(configVersions, "configVersions is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    timer.every(MAINTENANCE_PERIOD_MILLIS, () -> links.values().forEach(SidecarLink::maintain));
  }

  /** Opens and closes links to match the VM list. */
  public synchronized void update(List<Vm> vms) {
    Set<String> wanted = new HashSet<>();
    vms.stream()
        .filter(vm -> vm.role() != Vm.Role.ENTRY)
        .collect(Collectors.groupingBy(Vm::pool))
        .values()
        .forEach(pool -> subset(pool).forEach(vm -> wanted.add(openOrUpdate(vm))));
    links.entrySet().removeIf(entry -> closeIfUnwanted(entry.getValue(), wanted));
  }

  /** Returns the links to upstreams of a model or service. */
  public List<SidecarLink> serving(String pool) {
    return links.values().stream().filter(link -> link.serves(pool)).toList();
  }

  /** Returns all links. */
  public Collection<SidecarLink> all() {
    return links.values();
  }

  /** Returns the link to a VM, if there is one. */
  public Optional<SidecarLink> link(String vm) {
    return Optional.ofNullable(links.get(vm));
  }

  /** Closes all links. */
  public void close() {
    links.values().forEach(SidecarLink::close);
  }

  private List<Vm> subset(List<Vm> pool) {
    return SubsetSelector.select(
        pool, identity.vm(), identity.zone(), sidecarsPerPool, Vm::name, Vm::zone);
  }

  private String openOrUpdate(Vm vm) {
    SidecarLink old = links.get(vm.name());
    if (old != null && old.vm().address().equals(vm.address())) {
      old.setLeaving(vm.leaving());
      return vm.name();
    }
    if (old != null) {
      old.close();
    }
    links.put(
        vm.name(), new SidecarLink(vm, entryId, security, timer, usage, configVersions, metrics));
    return vm.name();
  }

  private static boolean closeIfUnwanted(SidecarLink link, Set<String> wanted) {
    if (wanted.contains(link.vm().name())) {
      return false;
    }
    link.setLeaving(true);
    if (link.openAttempts() > 0) {
      return false;
    }
    link.close();
    return true;
  }
}
