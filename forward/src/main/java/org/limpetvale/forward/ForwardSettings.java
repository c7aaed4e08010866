package org.limpetvale.forward;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import org.limpetvale.core.limit.ColdStart;
import org.limpetvale.forward.accept.CallerCapacity;
import org.limpetvale.forward.account.RetryBudgets;

/**
 * The settings of a forwarding daemon.
 *
 * @param name name of the VM
 * @param zone availability zone of the VM
 * @param callers address to listen on for callers
 * @param ready address to listen on for the load balancer's readiness checks
 * @param metrics address to listen on for metrics scrapes
 * @param peers address to listen on for reports of the other entries
 * @param store address of the platform's store
 * @param duties address of the platform's interface for duty calls
 * @param bounds time limits and budgets
 * @param regionsByZone region of each availability zone
 * @param callerCapacity what callers may take of memory and descriptors
 * @param placement how upstreams are chosen
 */
public record ForwardSettings(
    String name,
    String zone,
    InetSocketAddress callers,
    InetSocketAddress ready,
    InetSocketAddress metrics,
    InetSocketAddress peers,
    InetSocketAddress store,
    InetSocketAddress duties,
    Bounds bounds,
    Map<String, String> regionsByZone,
    CallerCapacity callerCapacity,
    Placement placement) {

  /**
   * How upstreams are chosen.
   *
   * @param weighsPromptMemory whether it is weighed for each request what a prompt that an engine
   *     still holds saves, against the wait for that engine
   * @param usesStatedSpeeds whether the speed counts that upstreams state of their machines
   * @param separatesShortGapsAtStart whether streams with far shorter gap targets than others get
   *     engines of their own before the pauses of the engines are known
   */
  public record Placement(
      boolean weighsPromptMemory, boolean usesStatedSpeeds, boolean separatesShortGapsAtStart) {
    /** The choice without any option. */
    public static final Placement DEFAULT = new Placement(false, false, false);
  }

  /**
   * Time limits and budgets.
   *
   * @param revokeMillis time within which a withdrawn key must stop working
   * @param graceMillis time from the stop signal until the process is killed
   * @param leaseMillis minimum time between the actions of two successive holders of a duty
   * @param usageWindowMillis length of a usage window
   * @param retries the fleet's retry budget
   * @param coldStarts how far all entries may exceed what a cold upstream bears
   */
  public record Bounds(
      long revokeMillis,
      long graceMillis,
      long leaseMillis,
      long usageWindowMillis,
      RetryBudgets.Bounds retries,
      ColdStart.Bounds coldStarts) {
    public Bounds {
      Objects.requireNonNull(coldStarts, "coldStarts is null");
      Objects.requireNonNull(retries, "retries is null");
    }
  }

  public ForwardSettings {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(zone, "zone is null");
    Objects.requireNonNull(callers, "callers is null");
    Objects.requireNonNull(ready, "ready is null");
    Objects.requireNonNull(metrics, "metrics is null");
    Objects.requireNonNull(peers, "peers is null");
    Objects.requireNonNull(store, "store is null");
    Objects.requireNonNull(duties, "duties is null");
    Objects.requireNonNull(bounds, "bounds is null");
    Objects.requireNonNull(callerCapacity, "callerCapacity is null");
    regionsByZone = Map.copyOf(Objects.requireNonNull(regionsByZone, "regionsByZone is null"));
    Objects.requireNonNull(placement, "placement is null");
  }
}
