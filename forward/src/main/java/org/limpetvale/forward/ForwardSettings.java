package org.limpetvale.forward;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.limpetvale.forward.account.RetryBudgets;

/**
 * Settings of a forwarding daemon.
 *
 * @param name name of the VM
 * @param zone its availability zone
 * @param callers address for callers
 * @param ready address for the balancer's readiness checks
 * @param metrics address of the metrics page
 * @param peers address for the other entries
 * @param store address of the platform's store
 * @param duties address of the platform's interface for duties
 * @param bounds times and budgets to keep
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
    Bounds bounds) {

  /**
   * Times and budgets to keep.
   *
   * @param revokeMillis time within which a withdrawn key must stop working
   * @param graceMillis time from the stop signal to the kill
   * @param leaseMillis time between the acts of two holders of a duty
   * @param usageWindowMillis length of a usage window
   * @param retries the fleet's retry budget
   */
  public record Bounds(
      long revokeMillis,
      long graceMillis,
      long leaseMillis,
      long usageWindowMillis,
      RetryBudgets.Bounds retries) {
    public Bounds {
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
  }
}
