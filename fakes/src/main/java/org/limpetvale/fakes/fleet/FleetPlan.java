package org.limpetvale.fakes.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a fleet consists of.
 *
 * @param entries number of entries
 * @param engines number of model engines with their sidecars
 * @param services number of plain services with their sidecars
 * @param zones availability zones, given to the VMs in turn
 * @param tls whether the processes of the system speak mutual TLS
 * @param engineOptions further options of the engines
 * @param platformOptions further options of the platform
 * @param upstreamCapacity capacity of each sidecar
 * @param upstreamQueueLimit queue limit of each sidecar
 * @param routing the entries' settings of routing, as JSON
 * @param control the entries' settings of control, as JSON
 * @param advertisedPorts advertises other ports than the real ones, such as a proxy's
 * @param jvmOptions options of the daemons' Java runtime
 */
public record FleetPlan(
    int entries,
    int engines,
    int services,
    List<String> zones,
    boolean tls,
    List<String> engineOptions,
    List<String> platformOptions,
    int upstreamCapacity,
    int upstreamQueueLimit,
    Map<String, Object> routing,
    Map<String, Object> control,
    AdvertisedPorts advertisedPorts,
    List<String> jvmOptions) {

  /** Chooses the port that the VM list advertises for a VM. */
  @FunctionalInterface
  public interface AdvertisedPorts {
    /** Returns the port to advertise. */
    int advertisedPort(String vm, int realPort);
  }

  /** Returns a small fleet. */
  public static FleetPlan small() {
    return new FleetPlan(
        2,
        2,
        1,
        List.of("z1", "z2"),
        false,
        List.of(),
        List.of(),
        8,
        32,
        Map.of("policy", "PREDICTED", "tiers", true, "sidecarsPerPool", 24, "mostOffers", 4),
        Map.of(
            "leaseMillis", 3000,
            "usageWindowMillis", 2000,
            "usageFlushMillis", 300,
            "scaling", false,
            "startAboveLoad", 0.8,
            "stopBelowLoad", 0.4,
            "stopAfterMillis", 120000,
            "leastPerZone", 1),
        (vm, port) -> port,
        List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
  }

  /** Returns this plan with other numbers of processes. */
  public FleetPlan withSizes(int newEntries, int newEngines, int newServices) {
    return new FleetPlan(
        newEntries,
        newEngines,
        newServices,
        zones,
        tls,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with mutual TLS between the system's processes. */
  public FleetPlan withTls() {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        true,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with further options of the engines. */
  public FleetPlan withEngineOptions(String... options) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        List.of(options),
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with further options of the platform. */
  public FleetPlan withPlatformOptions(String... options) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        List.of(options),
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with other limits of each sidecar. */
  public FleetPlan withSidecarLimits(int capacity, int queueLimit) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        platformOptions,
        capacity,
        queueLimit,
        routing,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with other settings of routing. */
  public FleetPlan withRouting(Map<String, Object> newRouting) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        newRouting,
        control,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with other settings of control. */
  public FleetPlan withControl(Map<String, Object> newControl) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        newControl,
        advertisedPorts,
        jvmOptions);
  }

  /** Returns this plan with other advertised addresses. */
  public FleetPlan withAdvertisedPorts(AdvertisedPorts newAddresses) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        newAddresses,
        jvmOptions);
  }

  /** Returns this plan with other options of the daemons' Java runtime. */
  public FleetPlan withJvmOptions(String... options) {
    return new FleetPlan(
        entries,
        engines,
        services,
        zones,
        tls,
        engineOptions,
        platformOptions,
        upstreamCapacity,
        upstreamQueueLimit,
        routing,
        control,
        advertisedPorts,
        List.of(options));
  }
}
