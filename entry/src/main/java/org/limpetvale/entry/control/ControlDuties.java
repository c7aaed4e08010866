package org.limpetvale.entry.control;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.EntrySettings;
import org.limpetvale.entry.config.PeerExchange;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.entry.upstream.VmDirectory;
import org.limpetvale.entry.usage.UsageReporter;
import org.limpetvale.ports.PowerControl;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.TransactionRunner;
import org.limpetvale.ports.UsageSink;
import org.limpetvale.ports.Vm;

/**
 * Manages the control duties that this entry contends for: one per availability zone, and the usage
 * reports.
 *
 * <p>Only {@link #MAX_CONTENDERS} entries contend for a duty, preferably entries in its zone, so
 * that the number of reads of the lease rows does not grow with the number of entries.
 */
public final class ControlDuties {
  private static final int MAX_CONTENDERS = 3;
  private static final String USAGE_DUTY = "usage";

  private final EntrySettings settings;
  private final String self;
  private final FencedSender sender;
  private final PowerControl power;
  private final SidecarPool pool;
  private final VmDirectory directory;
  private final Table table;
  private final TransactionRunner commits;
  private final UsageSink sink;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final Map<String, LeaseManager> leases = new ConcurrentHashMap<>();

  /** Creates the control duties of an entry. */
  public ControlDuties(
      EntrySettings settings,
      String self,
      FencedSender sender,
      PowerControl power,
      SidecarPool pool,
      VmDirectory directory,
      Table table,
      TransactionRunner commits,
      UsageSink sink,
      TimerService timer,
      MeterRegistry metrics) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.self = Objects.requireNonNull(self, "self is null");
    this.sender = Objects.requireNonNull(sender, "sender is null");
    this.power = Objects.requireNonNull(power, "power is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.directory = Objects.requireNonNull(directory, "directory is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
    this.sink = Objects.requireNonNull(sink, "sink is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Starts to contend for the leases. */
  public void start() {
    LeaseManager usageLease = addLease(USAGE_DUTY, "");
    new UsageReporter(
        usageLease,
        sender,
        table,
        commits,
        sink,
        timer,
        metrics,
        settings.control().usageWindowMillis());
    directory.subscribe(this::addZones);
  }

  /** Releases all leases. */
  public void stop() {
    leases.values().forEach(LeaseManager::release);
  }

  /** Returns the lease managers of all duties. */
  public Collection<LeaseManager> leases() {
    return leases.values();
  }

  /**
   * Returns whether a process is known to be permanently gone: its VM has left the VM list, or a
   * different process answers at its address.
   *
   * @param process process, as {@code vm/instance}
   */
  public static boolean isGone(
      String process, String self, VmDirectory directory, PeerExchange peers) {
    String vm = process.substring(0, Math.max(0, process.indexOf('/')));
    String selfVm = self.substring(0, self.indexOf('/'));
    if (vm.equals(selfVm)) {
      return !process.equals(self);
    }
    Optional<String> currentProcess = peers.processAt(vm);
    return directory.isGone(vm) || currentProcess.filter(each -> !each.equals(process)).isPresent();
  }

  private synchronized void addZones(List<Vm> vms) {
    vms.stream()
        .filter(vm -> vm.role() != Vm.Role.ENTRY)
        .map(Vm::zone)
        .distinct()
        .filter(zone -> !leases.containsKey(zoneDuty(zone)))
        .forEach(this::addZone);
  }

  private void addZone(String zone) {
    LeaseManager lease = addLease(zoneDuty(zone), zone);
    new ZoneController(zone, lease, sender, power, pool, table, settings.control(), timer, metrics);
  }

  private LeaseManager addLease(String duty, String zone) {
    LeaseManager lease =
        new LeaseManager(
            self,
            duty,
            settings.control().leaseMillis(),
            () -> contends(duty, zone),
            table,
            commits,
            timer);
    leases.put(duty, lease);
    return lease;
  }

  private boolean contends(String duty, String zone) {
    List<Vm> contenders =
        directory.all().stream()
            .filter(vm -> vm.role() == Vm.Role.ENTRY && !vm.leaving())
            .sorted(
                Comparator.<Vm, Boolean>comparing(vm -> !vm.zone().equals(zone))
                    .thenComparingInt(vm -> (duty + vm.name()).hashCode()))
            .limit(MAX_CONTENDERS)
            .toList();
    return contenders.stream().anyMatch(vm -> vm.name().equals(settings.identity().vm()));
  }

  private static String zoneDuty(String zone) {
    return "power." + zone;
  }
}
