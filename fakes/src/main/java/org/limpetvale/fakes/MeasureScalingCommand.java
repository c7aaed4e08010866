package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;
import org.limpetvale.fakes.fleet.LoadGenerator;
import org.limpetvale.fakes.fleet.SampleConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures how memory, message rates and CPU time grow with the size of the deployment and its
 * load.
 *
 * <p>The capacity estimates in docs/CAPACITY.md are derived from its output.
 */
@Command(
    name = "slopes",
    description = "Measures how memory, message rates and CPU time grow with size and load.",
    mixinStandardHelpOptions = true)
final class MeasureScalingCommand implements Callable<Integer> {
  private static final int[] WORKSPACE_COUNTS = {100, 1000, 4000, 13_000};
  private static final int[] SIDECAR_COUNTS = {4, 64, 256, 512};
  private static final int[] ENTRY_COUNTS = {1, 2, 4, 8};
  private static final int[] STREAM_COUNTS = {10, 100, 200, 400};
  private static final int[] REQUESTS_PER_SECOND = {50, 100, 200, 300};
  private static final int[] CHANGES_PER_SECOND = {1, 5, 10, 20};
  private static final long FIRST_VERSION = 1_000_000;
  private static final double BYTES_PER_KIB = 1024;

  @Option(names = "--seed", defaultValue = "1", description = "Random seed of the arrivals.")
  private long seed;

  @Option(
      names = "--millis",
      defaultValue = "8000",
      description = "Duration of each measurement, in milliseconds.")
  private long millis;

  @Override
  public Integer call() throws Exception {
    System.out.println("| row | unit | slope | at 0 | largest residual | points |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    measureWorkspaces();
    measureSidecars();
    measureEntries();
    measureTraffic();
    measureChanges();
    return 0;
  }

  private void measureWorkspaces() throws Exception {
    LinearFit heap = new LinearFit("W1 entry heap by workspace", "KiB a workspace");
    LinearFit cpu =
        new LinearFit("W2 entry processor by workspace, one snapshot", "ms a workspace");
    LinearFit snapshot = new LinearFit("W3 snapshot size by workspace", "KiB a workspace");
    try (Fleet fleet = Fleet.start(FleetPlan.small().withSizes(1, 1, 0))) {
      heapKib(fleet, "e1");
      for (int i = 0; i < WORKSPACE_COUNTS.length; i++) {
        long version = FIRST_VERSION * (i + 1);
        String state = configState(version, WORKSPACE_COUNTS[i]);
        long before = fleet.process("e1").cpuMillis();
        putSnapshot(fleet, version, state);
        awaitVersion(fleet, "e1", version);
        cpu.add(WORKSPACE_COUNTS[i], fleet.process("e1").cpuMillis() - before);
        heap.add(WORKSPACE_COUNTS[i], heapKib(fleet, "e1"));
        snapshot.add(WORKSPACE_COUNTS[i], state.length() / BYTES_PER_KIB);
      }
    }
    heap.printRow();
    cpu.printRow();
    snapshot.printRow();
  }

  private static String configState(long version, int workspaces) throws IOException {
    ObjectNode state = Http.MAPPER.createObjectNode();
    state.put("version", version);
    state.putObject("templates").set("field-work", Http.MAPPER.readTree(SampleConfig.template()));
    ObjectNode all = state.putObject("workspaces");
    ObjectNode keys = state.putObject("keys");
    for (int i = 0; i < workspaces; i++) {
      String name = "workspace-" + i;
      all.set(name, Http.MAPPER.readTree(SampleConfig.parameters(name)));
      String digest = String.format(java.util.Locale.ROOT, "%064x", i);
      keys.putObject(digest).put("keyId", name + "-1").put("workspace", name).put("digest", digest);
    }
    return state.toString();
  }

  private static void putSnapshot(Fleet fleet, long version, String state)
      throws IOException, InterruptedException {
    String object = "config-snapshot-" + version;
    Http.call(
        "PUT",
        fleet.platformUrl() + "/v1/objects/" + object,
        Map.of(),
        Http.MAPPER.writeValueAsString(Map.of("content", state)));
    String pointer = Http.MAPPER.writeValueAsString(Map.of("version", version, "object", object));
    String head = Http.MAPPER.writeValueAsString(Map.of("version", version));
    Map<String, Object> transaction =
        Map.of(
            "checks", List.of(),
            "puts",
                List.of(
                    Map.of("key", "config/snapshot", "value", pointer),
                    Map.of("key", "config/head", "value", head)),
            "deletes", List.of());
    Http.call(
        "POST",
        fleet.platformUrl() + "/v1/transactions",
        Map.of(),
        Http.MAPPER.writeValueAsString(transaction));
  }

  private void measureSidecars() throws Exception {
    LinearFit bytes =
        new LinearFit(
            "S1 control bytes of an idle entry by sidecar connected", "bytes/s a sidecar");
    LinearFit cpu =
        new LinearFit("S2 entry processor by sidecar connected, idle", "ms/s a sidecar");
    LinearFit heap = new LinearFit("S3 entry heap by sidecar connected", "KiB a sidecar");
    LinearFit sidecar =
        new LinearFit("S4 sidecar processor by entry connected, idle", "ms/s an entry");
    FleetPlan plan =
        FleetPlan.small()
            .withSizes(1, 1, 0)
            .withRouting(
                Map.of(
                    "policy",
                    "PREDICTED",
                    "tiers",
                    true,
                    "sidecarsPerPool",
                    4096,
                    "mostOffers",
                    4));
    try (Fleet fleet = Fleet.start(plan)) {
      int vmCount = 1;
      for (int count : SIDECAR_COUNTS) {
        for (; vmCount < count; vmCount++) {
          addVmAlias(fleet, "x" + vmCount);
        }
        fleet.awaitUpstreams("e1", count);
        Thread.sleep(millis / 4);
        heap.add(count, heapKib(fleet, "e1"));
        double bytesBefore = controlBytes(fleet, "e1");
        long entryBefore = fleet.process("e1").cpuMillis();
        long sidecarBefore = fleet.process("m1").cpuMillis();
        Thread.sleep(millis);
        double seconds = millis / 1000.0;
        bytes.add(count, (controlBytes(fleet, "e1") - bytesBefore) / seconds);
        cpu.add(count, (fleet.process("e1").cpuMillis() - entryBefore) / seconds);
        sidecar.add(count, (fleet.process("m1").cpuMillis() - sidecarBefore) / seconds);
      }
    }
    bytes.printRow();
    cpu.printRow();
    heap.printRow();
    sidecar.printRow();
  }

  /**
   * Adds a VM with the address of the only sidecar to the VM list, so that each entry opens another
   * connection to it.
   */
  private static void addVmAlias(Fleet fleet, String name)
      throws IOException, InterruptedException {
    Map<String, Object> vm =
        Map.of(
            "name",
            name,
            "zone",
            "z1",
            "role",
            "MODEL",
            "pool",
            Fleet.MODEL,
            "address",
            "127.0.0.1:" + fleet.node("m1").grpcPort(),
            "leaving",
            false);
    Http.call("PUT", fleet.platformUrl() + "/v1/vms", Map.of(), Http.MAPPER.writeValueAsString(vm));
  }

  private void measureEntries() throws Exception {
    LinearFit reads = new LinearFit("E1 table reads by entry, idle", "reads/s an entry");
    LinearFit writes = new LinearFit("E2 table writes by entry, idle", "writes/s an entry");
    LinearFit bytes =
        new LinearFit("E3 bytes with peers of all entries by entry", "bytes/s an entry");
    for (int count : ENTRY_COUNTS) {
      try (Fleet fleet =
          Fleet.start(
              FleetPlan.small().withSizes(count, 1, 0).withControl(defaultControlSettings()))) {
        fleet.configure("e1", "dispatch");
        Thread.sleep(millis);
        JsonNode before = tableOperationCounts(fleet);
        double bytesBefore = peerBytes(fleet, count);
        Thread.sleep(millis);
        JsonNode after = tableOperationCounts(fleet);
        double seconds = millis / 1000.0;
        reads.add(count, (after.path("reads").asLong() - before.path("reads").asLong()) / seconds);
        writes.add(
            count, (after.path("writes").asLong() - before.path("writes").asLong()) / seconds);
        bytes.add(count, (peerBytes(fleet, count) - bytesBefore) / seconds);
      }
    }
    reads.printRow();
    writes.printRow();
    bytes.printRow();
  }

  /** Returns the control settings that an entry uses by default. */
  private static Map<String, Object> defaultControlSettings() {
    return Map.of(
        "leaseMillis", 6000,
        "usageWindowMillis", 60_000,
        "usageFlushMillis", 2000,
        "scaling", false,
        "startAboveLoad", 0.8,
        "stopBelowLoad", 0.4,
        "stopAfterMillis", 120_000,
        "leastPerZone", 1);
  }

  private void measureTraffic() throws Exception {
    FleetPlan plan =
        FleetPlan.small()
            .withSizes(1, 1, 0)
            .withSidecarLimits(500, 500)
            .withControl(defaultControlSettings())
            .withEngineOptions("--capacity", "600", "--tokens-per-second", "40")
            .withJvmOptions("-Xmx512m", "-XX:+UseSerialGC");
    try (Fleet fleet = Fleet.start(plan)) {
      String key = fleet.configure("e1", "dispatch").get("dispatch");
      LoadGenerator loadGenerator = new LoadGenerator(Fleet.findProjectRoot(), fleet.folder());
      loadGenerator.run(seed, millis, List.of(flow(key, 100, 5)), List.of(fleet.entryUrl("e1")));
      measureRequests(fleet, loadGenerator, key);
      measureStreams(fleet, loadGenerator, key);
    }
  }

  private void measureRequests(Fleet fleet, LoadGenerator loadGenerator, String key)
      throws Exception {
    LinearFit entry =
        new LinearFit("R1 entry processor by requests/s, answers of 2 tokens", "ms/s a request/s");
    LinearFit sidecar =
        new LinearFit(
            "R2 sidecar processor by requests/s, answers of 2 tokens", "ms/s a request/s");
    for (int perSecond : REQUESTS_PER_SECOND) {
      long entryBefore = fleet.process("e1").cpuMillis();
      long sidecarBefore = fleet.process("m1").cpuMillis();
      long startNanos = System.nanoTime();
      loadGenerator.run(
          seed, millis, List.of(flow(key, perSecond, 2)), List.of(fleet.entryUrl("e1")));
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      entry.add(perSecond, (fleet.process("e1").cpuMillis() - entryBefore) / seconds);
      sidecar.add(perSecond, (fleet.process("m1").cpuMillis() - sidecarBefore) / seconds);
    }
    entry.printRow();
    sidecar.printRow();
  }

  private void measureStreams(Fleet fleet, LoadGenerator loadGenerator, String key)
      throws Exception {
    LinearFit entry = new LinearFit("T1 entry processor by tokens/s", "ms/s a token/s");
    LinearFit sidecar = new LinearFit("T2 sidecar processor by tokens/s", "ms/s a token/s");
    LinearFit heap = new LinearFit("T3 entry heap by open stream", "KiB a stream");
    int tokens = 200;
    for (int open : STREAM_COUNTS) {
      double streamSeconds = tokens / 40.0 * 1.2;
      double perSecond = open / streamSeconds;
      long entryBefore = fleet.process("e1").cpuMillis();
      long sidecarBefore = fleet.process("m1").cpuMillis();
      long startNanos = System.nanoTime();
      double[] sampledHeapKib = new double[1];
      Thread sampler = Thread.ofVirtual().start(() -> sampledHeapKib[0] = heapKibLateInRun(fleet));
      JsonNode figures =
          loadGenerator
              .run(
                  seed,
                  millis,
                  List.of(flow(key, perSecond, tokens)),
                  List.of(fleet.entryUrl("e1")))
              .getFirst()
              .path("figures");
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      sampler.join();
      double tokensPerSecond = figures.path("deliveredTokens").asDouble() / seconds;
      entry.add(tokensPerSecond, (fleet.process("e1").cpuMillis() - entryBefore) / seconds);
      sidecar.add(tokensPerSecond, (fleet.process("m1").cpuMillis() - sidecarBefore) / seconds);
      heap.add(open, sampledHeapKib[0]);
    }
    entry.printRow();
    sidecar.printRow();
    heap.printRow();
  }

  private double heapKibLateInRun(Fleet fleet) {
    try {
      Thread.sleep(millis * 4 / 5);
      return heapKib(fleet, "e1");
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static LoadGenerator.Flow flow(String key, double perSecond, int tokens) {
    return new LoadGenerator.Flow("dispatch", key, "cab-question", perSecond, tokens, 0, 1200, 60);
  }

  private void measureChanges() throws Exception {
    LinearFit cpu = new LinearFit("C1 entry processor by change/s", "ms/s a change/s");
    LinearFit activation =
        new LinearFit("C2 time until a change is in force at another entry, largest", "ms");
    try (Fleet fleet =
        Fleet.start(FleetPlan.small().withSizes(2, 1, 0).withControl(defaultControlSettings()))) {
      fleet.configure("e1", "dispatch");
      for (int perSecond : CHANGES_PER_SECOND) {
        long before = fleet.process("e2").cpuMillis();
        List<Long> activationMillis = new ArrayList<>();
        long startNanos = System.nanoTime();
        int count = (int) (perSecond * millis / 1000);
        for (int i = 0; i < count; i++) {
          long dueMillis = i * 1000L / perSecond;
          long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
          Thread.sleep(Math.max(0, dueMillis - elapsedMillis));
          String parameters = SampleConfig.parameters("w" + perSecond + "-" + i);
          Http.Response answer =
              fleet.callOperatorApi(
                  "e1",
                  "POST",
                  "/changes",
                  "{\"type\":\"put-parameters\",\"parameters\":" + parameters + "}");
          if (i % perSecond == 0) {
            activationMillis.add(awaitVersion(fleet, "e2", answer.json().path("version").asLong()));
          }
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        cpu.add(perSecond, (fleet.process("e2").cpuMillis() - before) / seconds);
        activation.add(
            perSecond, activationMillis.stream().mapToLong(Long::longValue).max().orElse(0));
      }
    }
    cpu.printRow();
    activation.printRow();
  }

  /** Waits until an entry has activated a version; returns the waiting time, in milliseconds. */
  private static long awaitVersion(Fleet fleet, String entry, long version)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    while (fleet
            .callOperatorApi(entry, "GET", "/status", null)
            .json()
            .path("configVersion")
            .asLong()
        < version) {
      Thread.sleep(10);
    }
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static double heapKib(Fleet fleet, String vm) throws IOException, InterruptedException {
    String admin = "http://127.0.0.1:" + fleet.node(vm).adminPort();
    Http.call("POST", admin + "/tasks/gc", Map.of(), "");
    return sumMetric(fleet.metrics(vm), "jvm_memory_used_bytes{area=\"heap\"") / BYTES_PER_KIB;
  }

  private static double controlBytes(Fleet fleet, String vm)
      throws IOException, InterruptedException {
    return sumMetric(fleet.metrics(vm), "limpetvale_control_bytes_total{with=\"sidecar\"");
  }

  private static double peerBytes(Fleet fleet, int entries)
      throws IOException, InterruptedException {
    double all = 0;
    for (int i = 1; i <= entries; i++) {
      all += sumMetric(fleet.metrics("e" + i), "limpetvale_control_bytes_total{with=\"peer\"");
    }
    return all;
  }

  private static JsonNode tableOperationCounts(Fleet fleet)
      throws IOException, InterruptedException {
    return Http.call("GET", fleet.platformUrl() + "/used", Map.of(), null).json();
  }

  private static double sumMetric(String text, String prefix) {
    return text.lines()
        .filter(line -> line.startsWith(prefix))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
