package org.limpetvale.fakes.fleet;

import java.util.List;
import java.util.Map;

/**
 * Composition and settings of a fleet.
 *
 * @param entries number of entries
 * @param engines number of model engines with their sidecars
 * @param services number of plain services with their sidecars
 * @param zones availability zones, assigned to the VMs round robin
 * @param tls whether the daemons use mutual TLS among themselves
 * @param engineOptions additional command-line options of the engines
 * @param platformOptions additional command-line options of the fake platform
 * @param upstreamCapacity capacity of each sidecar
 * @param upstreamQueueLimit queue limit of each sidecar
 * @param routing routing settings of the entries, as a JSON object
 * @param control control settings of the entries, as a JSON object
 * @param advertisedPorts maps the real gRPC port of a VM to the advertised one, such as that of a
 *     proxy
 * @param jvmOptions JVM options of the daemons
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

  /** Returns a plan with two entries, two model engines and one plain service. */
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

  /** Returns this plan with the given numbers of processes. */
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

  /** Returns this plan with mutual TLS between the daemons. */
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

  /** Returns this plan with the given command-line options of the engines. */
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

  /** Returns this plan with the given command-line options of the fake platform. */
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

  /** Returns this plan with the given limits for each sidecar. */
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

  /** Returns this plan with the given routing settings. */
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

  /** Returns this plan with the given control settings. */
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

  /** Returns this plan with the given mapping of advertised ports. */
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

  /** Returns this plan with the given JVM options of the daemons. */
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
