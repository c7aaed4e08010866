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

/** Reports the state of an entry to operators. */
public final class StatusReport {
  private final String entryId;
  private final ConfigHolder config;
  private final ConfigFreshness freshness;
  private final SidecarPool pool;
  private final OpenRequests openRequests;
  private final Supplier<Collection<LeaseManager>> leases;

  /** Creates the status report of one entry. */
  public StatusReport(
      String entryId,
      ConfigHolder config,
      ConfigFreshness freshness,
      SidecarPool pool,
      OpenRequests openRequests,
      Supplier<Collection<LeaseManager>> leases) {
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.config = Objects.requireNonNull(config, "config is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.pool = Objects.requireNonNull(pool, "pool is null");
    this.openRequests = Objects.requireNonNull(openRequests, "openRequests is null");
    this.leases = Objects.requireNonNull(leases, "leases is null");
  }

  /**
   * The state of an upstream as known to this entry.
   *
   * @param vm name of the VM
   * @param zone its availability zone
   * @param pool model or service
   * @param available whether requests may be sent to it
   * @param draining whether it refuses new work
   * @param running number of running requests
   * @param queued number of queued requests
   * @param capacity maximum number of concurrent requests
   * @param streamTokensPerSecond observed rate of one stream, in tokens per second
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
   * The state of the entry.
   *
   * @param entry id of this process
   * @param configVersion version of the configuration in force
   * @param confirmedAgeMillis time since the configuration was last confirmed, in milliseconds
   * @param servesKeyedRoutes whether routes that need a key are served
   * @param openRequests number of open requests that use a key
   * @param leases duties whose leases this process holds
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

  /** Returns the current state of the entry. */
  public State currentState() {
    return new State(
        entryId,
        config.current().version(),
        freshness.ageMillis(),
        freshness.mayServeKeyedRoutes(),
        openRequests.count(),
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
