package org.limpetvale.fakes.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.limpetvale.platform.standin.PortAllocator;

/** Real processes on loopback: the fake platform, fake upstreams, sidecars and entries. */
public final class Fleet implements AutoCloseable {
  /** Name of the model that the engines serve. */
  public static final String MODEL = "gully-7b";

  /** Name of the plain service. */
  public static final String SERVICE = "bookings";

  /** Key of the operator API. */
  public static final String OPERATOR_KEY = "operator-key-of-the-loopback-fleet";

  private static final String DIGEST_SECRET = "loopback-digest-secret-0123456789";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);
  private static final long POLL_MILLIS = 50;

  private final FleetPlan plan;
  private final Path folder;
  private final Path root;
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final int platformPort = PortAllocator.allocate();
  private final CertificateAuthority certificateAuthority;

  /**
   * A VM of the fleet.
   *
   * @param vm name of the VM
   * @param zone availability zone
   * @param role ENTRY, MODEL or SERVICE
   * @param grpcPort gRPC port of the daemon
   * @param httpPort HTTP port for callers of an entry, or of the upstream
   * @param adminPort port of the metrics and health endpoints
   */
  public record Node(
      String vm, String zone, String role, int grpcPort, int httpPort, int adminPort) {}

  private Fleet(FleetPlan plan, Path folder, Path root, CertificateAuthority certificates) {
    this.plan = plan;
    this.folder = folder;
    this.root = root;
    this.certificateAuthority = certificates;
  }

  /** Starts a fleet and waits until all its processes are ready. */
  public static Fleet start(FleetPlan plan)
      throws IOException, InterruptedException, GeneralSecurityException {
    Objects.requireNonNull(plan, "plan is null");
    Path folder = Files.createTempDirectory("limpetvale-fleet");
    CertificateAuthority certificates = plan.tls() ? CertificateAuthority.create(folder) : null;
    Fleet fleet = new Fleet(plan, folder, findProjectRoot(), certificates);
    try {
      fleet.createNodes();
      fleet.startPlatform();
      for (Node node : fleet.nodes.values()) {
        fleet.startNode(node);
      }
      fleet.awaitServing();
    } catch (IOException | InterruptedException | RuntimeException | GeneralSecurityException e) {
      fleet.close();
      throw e;
    }
    return fleet;
  }

  /** Returns the root directory of the source tree. */
  public static Path findProjectRoot() {
    Path path = Path.of(System.getProperty("limpetvale.root", "")).toAbsolutePath();
    while (path != null && !Files.exists(path.resolve("bin/find-jdk"))) {
      path = path.getParent();
    }
    return Objects.requireNonNull(path, "the root of the source tree was not found");
  }

  private void createNodes() throws IOException, InterruptedException, GeneralSecurityException {
    for (int i = 1; i <= plan.engines(); i++) {
      addNode("m" + i, "MODEL", i);
    }
    for (int i = 1; i <= plan.services(); i++) {
      addNode("s" + i, "SERVICE", i);
    }
    for (int i = 1; i <= plan.entries(); i++) {
      addNode("e" + i, "ENTRY", i);
    }
  }

  private void addNode(String vm, String role, int number)
      throws IOException, InterruptedException, GeneralSecurityException {
    String zone = plan.zones().get((number - 1) % plan.zones().size());
    nodes.put(
        vm,
        new Node(
            vm,
            zone,
            role,
            PortAllocator.allocate(),
            PortAllocator.allocate(),
            PortAllocator.allocate()));
    if (certificateAuthority != null) {
      certificateAuthority.issue(vm);
    }
  }

  private void startPlatform() throws IOException, InterruptedException {
    Path inventory = folder.resolve("inventory.json");
    List<Map<String, Object>> vms = nodes.values().stream().map(this::vmListEntry).toList();
    List<Map<String, Object>> units =
        nodes.values().stream()
            .filter(node -> !node.role().equals("ENTRY"))
            .map(
                node ->
                    Map.<String, Object>of(
                        "vm", node.vm(), "zone", node.zone(), "pool", pool(node), "running", true))
            .toList();
    Files.writeString(
        inventory, Http.MAPPER.writeValueAsString(Map.of("vms", vms, "units", units)));
    List<String> options = new ArrayList<>(List.of("--inventory", inventory.toString()));
    options.addAll(plan.platformOptions());
    startFake("platform", "platform", platformPort, options);
    awaitHttp("platform", "http://127.0.0.1:" + platformPort + "/used");
  }

  /** Starts the processes of a VM. */
  public void startNode(Node node) throws IOException {
    switch (node.role()) {
      case "MODEL" -> {
        startFake(node.vm() + "-engine", "engine", node.httpPort(), plan.engineOptions());
        startDaemon(node, "sidecar", sidecarSettings(node));
      }
      case "SERVICE" -> {
        startFake(node.vm() + "-service", "service", node.httpPort(), List.of());
        startDaemon(node, "sidecar", sidecarSettings(node));
      }
      default -> startDaemon(node, "entry", entrySettings(node));
    }
  }

  /** Starts the daemon of a VM again, without touching its upstream. */
  public void restartDaemon(String vm) throws IOException {
    Node node = node(vm);
    boolean entry = node.role().equals("ENTRY");
    startDaemon(
        node, entry ? "entry" : "sidecar", entry ? entrySettings(node) : sidecarSettings(node));
  }

  private void startFake(String name, String command, int port, List<String> options) {
    List<String> commandLine =
        javaCommand("fakes", List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    commandLine.addAll(
        List.of("org.limpetvale.fakes.FakesMain", command, "--port", String.valueOf(port)));
    commandLine.addAll(options);
    processes.put(name, ManagedProcess.start(name, commandLine, folder.resolve(name + ".log")));
  }

  private void startDaemon(Node node, String command, Map<String, Object> settings)
      throws IOException {
    Path file = folder.resolve(node.vm() + ".json");
    Files.writeString(file, Http.MAPPER.writeValueAsString(settings));
    List<String> commandLine = javaCommand("cli", plan.jvmOptions());
    commandLine.addAll(List.of("org.limpetvale.cli.Main", command, file.toString()));
    processes.put(
        node.vm(),
        ManagedProcess.start(node.vm(), commandLine, folder.resolve(node.vm() + ".log")));
  }

  private List<String> javaCommand(String module, List<String> options) {
    Path target = root.resolve(module).resolve("target");
    List<String> commandLine = new ArrayList<>();
    commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    commandLine.addAll(options);
    commandLine.addAll(
        List.of(
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow",
            "-cp",
            target.resolve("classes") + ":" + target.resolve("lib") + "/*"));
    return commandLine;
  }

  private Map<String, Object> vmListEntry(Node node) {
    int port = plan.advertisedPorts().advertisedPort(node.vm(), node.grpcPort());
    return Map.of(
        "name", node.vm(),
        "zone", node.zone(),
        "role", node.role(),
        "pool", pool(node),
        "address", "127.0.0.1:" + port,
        "leaving", false);
  }

  private static String pool(Node node) {
    return switch (node.role()) {
      case "MODEL" -> MODEL;
      case "SERVICE" -> SERVICE;
      default -> "";
    };
  }

  private Map<String, Object> commonSettings(Node node) {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("identity", Map.of("vm", node.vm(), "zone", node.zone()));
    Map<String, Object> grpc = new LinkedHashMap<>();
    grpc.put("host", "127.0.0.1");
    grpc.put("port", node.grpcPort());
    if (certificateAuthority != null) {
      grpc.put(
          "tls",
          Map.of(
              "certificateFile", certificateAuthority.certificateFile(node.vm()).toString(),
              "keyFile", certificateAuthority.keyFile(node.vm()).toString(),
              "authorityFile", certificateAuthority.authorityFile().toString()));
    }
    settings.put("grpc", grpc);
    settings.put(
        "logging",
        Map.of(
            "level",
            "INFO",
            "appenders",
            List.of(
                Map.of(
                    "type",
                    "console",
                    "layout",
                    Map.of("type", "json", "additionalFields", Map.of("process", node.vm()))))));
    return settings;
  }

  private Map<String, Object> sidecarSettings(Node node) {
    boolean model = node.role().equals("MODEL");
    Map<String, Object> settings = commonSettings(node);
    Map<String, Object> upstream = new LinkedHashMap<>();
    upstream.put("kind", node.role());
    upstream.put("url", "http://127.0.0.1:" + node.httpPort());
    upstream.put("models", model ? List.of(MODEL) : List.of());
    upstream.put("service", model ? "" : SERVICE);
    upstream.put("capacity", plan.upstreamCapacity());
    upstream.put("queueLimit", plan.upstreamQueueLimit());
    upstream.put("expectedServiceMillis", 500);
    upstream.put("tokenGapLimitMillis", 2000);
    upstream.put("callLimitMillis", 5000);
    settings.put("upstream", upstream);
    settings.put(
        "server",
        Map.of(
            "type",
            "simple",
            "connector",
            Map.of("type", "http", "bindHost", "127.0.0.1", "port", node.adminPort()),
            "requestLog",
            Map.of("appenders", List.of())));
    return settings;
  }

  private Map<String, Object> entrySettings(Node node) {
    Map<String, Object> settings = commonSettings(node);
    String platform = "http://127.0.0.1:" + platformPort;
    settings.put(
        "platform",
        Map.of(
            "tableUrl", platform,
            "objectStoreUrl", platform,
            "vmListUrl", platform,
            "powerUrl", platform,
            "usageUrl", platform,
            "timeoutMillis", 1000));
    settings.put("keyDigestSecret", DIGEST_SECRET);
    settings.put("operatorKeyDigests", List.of(operatorKeyDigest()));
    settings.put("routing", plan.routing());
    settings.put("control", plan.control());
    settings.put(
        "server",
        Map.of(
            "enableVirtualThreads", true,
            "applicationConnectors", List.of(connector(node.httpPort())),
            "adminConnectors", List.of(connector(node.adminPort())),
            "gzip", Map.of("enabled", false),
            "requestLog", Map.of("appenders", List.of())));
    return settings;
  }

  private static Map<String, Object> connector(int port) {
    return Map.of("type", "http", "bindHost", "127.0.0.1", "port", port);
  }

  /** Returns the keyed digest of the operator's key that the entries are configured with. */
  private static String operatorKeyDigest() {
    try {
      javax.crypto.Mac mac = javax.crypto.Mac.getInstance("HmacSHA256");
      mac.init(
          new javax.crypto.spec.SecretKeySpec(
              DIGEST_SECRET.getBytes(java.nio.charset.StandardCharsets.UTF_8), "HmacSHA256"));
      mac.update(OPERATOR_KEY.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      mac.update((byte) 0);
      return java.util.HexFormat.of().formatHex(mac.doFinal());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private void awaitServing() throws IOException, InterruptedException {
    for (Node node : nodes.values()) {
      boolean entry = node.role().equals("ENTRY");
      String path = entry ? "/healthcheck" : "/admin/healthcheck";
      awaitHttp(node.vm(), "http://127.0.0.1:" + node.adminPort() + path);
    }
    for (Node node : nodes.values()) {
      if (node.role().equals("ENTRY")) {
        awaitUpstreams(node.vm(), plan.engines() + plan.services());
      }
    }
  }

  /**
   * Waits until an entry serves keyed routes and has at least the given number of available
   * upstreams.
   */
  public void awaitUpstreams(String entry, int count) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      try {
        Http.Response status = callOperatorApi(entry, "GET", "/status", null);
        long available = 0;
        for (JsonNode each : status.json().path("upstreams")) {
          available += each.path("available").asBoolean() ? 1 : 0;
        }
        if (status.json().path("servesKeyedRoutes").asBoolean() && available >= count) {
          return;
        }
      } catch (IOException e) {
        // The entry is not listening yet.
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IOException(
        entry + " has too few available upstreams; its log:\n" + process(entry).output());
  }

  private void awaitHttp(String name, String url) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (Http.call("GET", url, Map.of(), null).status() == 200) {
          return;
        }
      } catch (IOException e) {
        if (!process(name).isAlive()) {
          throw new IOException(name + " has exited; its log:\n" + process(name).output());
        }
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IOException(
        name + " does not respond; its log:\n" + process(name).output() + exitedProcessLogs());
  }

  /** Returns the logs of exited processes, which may be why others do not respond. */
  private String exitedProcessLogs() {
    StringBuilder logs = new StringBuilder();
    processes.forEach(
        (name, process) -> {
          if (!process.isAlive()) {
            logs.append(name).append(" has exited; its log:\n").append(process.output());
          }
        });
    return logs.toString();
  }

  /** Returns a process by name. */
  public ManagedProcess process(String name) {
    return Objects.requireNonNull(processes.get(name), "no process " + name);
  }

  /** Returns a VM by name. */
  public Node node(String vm) {
    return Objects.requireNonNull(nodes.get(vm), "no VM " + vm);
  }

  /** Returns the certificate authority of a fleet with TLS. */
  public CertificateAuthority certificateAuthority() {
    return Objects.requireNonNull(certificateAuthority, "the fleet does not use TLS");
  }

  /** Returns the folder with logs and settings. */
  public Path folder() {
    return folder;
  }

  /** Returns the URL of an entry for callers. */
  public String entryUrl(String entry) {
    return "http://127.0.0.1:" + node(entry).httpPort();
  }

  /** Returns the direct URL of an upstream, bypassing its sidecar. */
  public String upstreamUrl(String vm) {
    return "http://127.0.0.1:" + node(vm).httpPort();
  }

  /** Returns the URL of the fake platform. */
  public String platformUrl() {
    return "http://127.0.0.1:" + platformPort;
  }

  /** Calls the operator API of an entry. */
  public Http.Response callOperatorApi(String entry, String method, String path, String body)
      throws IOException, InterruptedException {
    return Http.call(
        method,
        entryUrl(entry) + "/v1/admin" + path,
        Map.of("Authorization", "Bearer " + OPERATOR_KEY),
        body);
  }

  /** Injects faults into a service of the fake platform. */
  public void setPlatformFaults(String target, String json)
      throws IOException, InterruptedException {
    String body = json.replaceFirst("\\{", "{\"target\":\"" + target + "\",");
    Http.call("POST", platformUrl() + "/faults", Map.of(), body);
  }

  /** Injects faults into a fake upstream. */
  public void setUpstreamFaults(String vm, String json) throws IOException, InterruptedException {
    Http.call("POST", upstreamUrl(vm) + "/faults", Map.of(), json);
  }

  /** Returns the metrics of a daemon in Prometheus text format. */
  public String metrics(String vm) throws IOException, InterruptedException {
    Node node = node(vm);
    String path = node.role().equals("ENTRY") ? "/prometheus" : "/admin/prometheus";
    return Http.call("GET", "http://127.0.0.1:" + node.adminPort() + path, Map.of(), null).body();
  }

  /** Puts a VM into the VM list, marked as leaving or not. */
  public void listVm(String vm, boolean leaving) throws IOException, InterruptedException {
    Map<String, Object> listEntry = new LinkedHashMap<>(vmListEntry(node(vm)));
    listEntry.put("leaving", leaving);
    Http.call(
        "PUT", platformUrl() + "/v1/vms", Map.of(), Http.MAPPER.writeValueAsString(listEntry));
  }

  /** Removes a VM from the VM list. */
  public void unlistVm(String vm) throws IOException, InterruptedException {
    Http.call("DELETE", platformUrl() + "/v1/vms/" + vm, Map.of(), null);
  }

  /** Configures a template and workspaces and grants a key to each workspace; returns the keys. */
  public Map<String, String> configure(String entry, String... workspaces)
      throws IOException, InterruptedException {
    requireSuccess(
        callOperatorApi(
            entry,
            "POST",
            "/changes",
            "{\"type\":\"put-template\",\"template\":" + SampleConfig.template() + "}"));
    Map<String, String> keys = new LinkedHashMap<>();
    for (String workspace : workspaces) {
      requireSuccess(
          callOperatorApi(
              entry,
              "POST",
              "/changes",
              "{\"type\":\"put-parameters\",\"parameters\":"
                  + SampleConfig.parameters(workspace)
                  + "}"));
      Http.Response granted =
          requireSuccess(
              callOperatorApi(
                  entry,
                  "POST",
                  "/keys",
                  "{\"keyId\":\"" + workspace + "-1\",\"workspace\":\"" + workspace + "\"}"));
      keys.put(workspace, granted.json().path("key").asText());
    }
    awaitSameVersion();
    return keys;
  }

  /** Waits until all running entries have the same active configuration version. */
  public void awaitSameVersion() throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    List<String> entries =
        nodes.values().stream()
            .filter(node -> node.role().equals("ENTRY"))
            .map(Node::vm)
            .filter(vm -> process(vm).isAlive())
            .toList();
    while (System.nanoTime() < deadlineNanos) {
      List<Long> versions = new ArrayList<>();
      for (String entry : entries) {
        versions.add(
            callOperatorApi(entry, "GET", "/status", null).json().path("configVersion").asLong());
      }
      if (versions.stream().distinct().count() == 1) {
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IOException("the entries have different configuration versions");
  }

  private static Http.Response requireSuccess(Http.Response answer) throws IOException {
    if (answer.status() >= 300) {
      throw new IOException("refused: " + answer.body());
    }
    return answer;
  }

  /**
   * Stops all daemons gracefully, entries first; returns the VMs whose daemon did not stop in time.
   */
  public List<String> stopGracefully() {
    List<String> lateVms = new ArrayList<>();
    List<String> entriesFirst =
        nodes.keySet().stream().filter(vm -> processes.containsKey(vm)).toList().reversed();
    for (String vm : entriesFirst) {
      process(vm).terminate();
      if (!process(vm).awaitExit(STOP_TIMEOUT)) {
        lateVms.add(vm);
      }
    }
    return lateVms;
  }

  @Override
  public void close() {
    processes.values().forEach(ManagedProcess::close);
    if (Boolean.getBoolean("limpetvale.keep")) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(Fleet::delete);
    } catch (IOException e) {
      System.err.println("cannot delete " + folder);
    }
  }

  private static void delete(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      System.err.println("cannot delete " + file);
    }
  }
}
