package org.limpetvale.entry.http;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.entry.config.ConfigFreshness;
import org.limpetvale.entry.config.ConfigHolder;
import org.limpetvale.entry.control.LeaseManager;
import org.limpetvale.entry.run.OpenRequests;
import org.limpetvale.entry.upstream.SidecarLink;
import org.limpetvale.entry.upstream.SidecarPool;

/** The state of an entry, for operators. */
public final class StatusReport {
  private final String entryId;
  private final ConfigHolder config;
  private final ConfigFreshness freshness;
  private final SidecarPool pool;
  private final OpenRequests open;
  private final Supplier<Collection<LeaseManager>> leases;

  /** Creates the report of one entry. */
  public StatusReport(
      String entryId,
      ConfigHolder config,
      ConfigFreshness freshness,
      SidecarPool pool,
      OpenRequests open,
      Supplier<Collection<LeaseManager>> leases) {
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.config = Objects.requireNonNull(config, "config is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.open = Objects.requireNonNull(open, "open is null");
    this.leases = Objects.requireNonNull(leases, "leases is null");
  }

  /**
   * An upstream as this entry sees it.
   *
   * @param vm name of the VM
   * @param zone its availability zone
   * @param pool model or service
   * @param available whether work is sent there
   * @param draining whether it takes no new work
   * @param running requests that run
   * @param queued requests that wait
   * @param capacity requests that can run at the same time
   * @param streamTokensPerSecond observed rate of one stream
   */
  public record Upstream(
      String vm,
      String zone,
      String pool,
      boolean available,
      boolean draining,
      int running,
      int queued,
      int capacity,
      double streamTokensPerSecond) {}

  /**
   * The state.
   *
   * @param entry this process
   * @param configVersion version of the configuration in force
   * @param confirmedAgeMillis age of its last confirmation, in milliseconds
   * @param servesKeyedRoutes whether routes with a key are served
   * @param openRequests requests with a key that are open
   * @param leases duties that this process holds
   * @param upstreams the upstreams
   */
  public record State(
      String entry,
      long configVersion,
      long confirmedAgeMillis,
      boolean servesKeyedRoutes,
      int openRequests,
      List<String> leases,
      List<Upstream> upstreams) {}

  /** Makes the report. */
  public State currentState() {
    return new State(
        entryId,
        config.current().version(),
        freshness.ageMillis(),
        freshness.mayServeKeyedRoutes(),
        open.count(),
        leases.get().stream()
            .flatMap(each -> each.held().stream())
            .map(LeaseManager.Held::duty)
            .sorted()
            .toList(),
        pool.all().stream()
            .map(StatusReport::upstream)
            .sorted(Comparator.comparing(Upstream::vm))
            .toList());
  }

  private static Upstream upstream(SidecarLink link) {
    return new Upstream(
        link.vm().name(),
        link.vm().zone(),
        link.vm().pool(),
        link.isAvailable(),
        link.load().getDraining(),
        link.load().getRunning(),
        link.load().getQueued(),
        link.load().getCapacity(),
        link.load().getStreamTokensPerSecond());
  }
}
