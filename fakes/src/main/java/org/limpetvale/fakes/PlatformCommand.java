package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs fakes of the platform's services in one process. */
@Command(
    name = "platform",
    description = "Fake table, object store, VM list, power and usage APIs.",
    mixinStandardHelpOptions = true)
final class PlatformCommand implements Callable<Integer> {
  @Option(names = "--port", required = true, description = "Port on 127.0.0.1.")
  private int port;

  @Option(names = "--inventory", description = "JSON file with the initial vms and units.")
  private Path inventory;

  @Option(
      names = "--lag-millis",
      defaultValue = "0",
      description = "Delay until the VM list shows a change.")
  private long lagMillis;

  @Option(
      names = "--ignore-epochs",
      description = "The power API accepts orders with outdated epochs.")
  private boolean ignoreEpochs;

  @Option(
      names = "--reads-per-second",
      defaultValue = "2000",
      description = "Read limit of the table.")
  private double readsPerSecond;

  @Option(
      names = "--writes-per-second",
      defaultValue = "500",
      description = "Write limit of the table.")
  private double writesPerSecond;

  private FakeTable table;
  private FakeVmList vms;
  private FakePower power;
  private final FakeUsage usage = new FakeUsage();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Map<String, InjectedFaults> faults = new LinkedHashMap<>();

  @Override
  public Integer call() throws Exception {
    table = new FakeTable(readsPerSecond, writesPerSecond);
    vms = new FakeVmList(lagMillis);
    power = new FakePower(!ignoreEpochs);
    for (String target : new String[] {"table", "objects", "vms", "power", "usage"}) {
      faults.put(target, new InjectedFaults());
    }
    if (inventory != null) {
      JsonNode json = FakeServer.MAPPER.readTree(inventory.toFile());
      json.path("vms").forEach(vms::put);
      json.path("units").forEach(power::putUnit);
    }
    new FakeServer(port, this::handle).start();
    FakeServer.waitForever();
    return 0;
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/faults")) {
      JsonNode command = FakeServer.readJson(exchange);
      faults.get(command.path("target").asText()).update(command);
      FakeServer.reply(exchange, 200, Map.of());
      return;
    }
    if (path.equals("/used")) {
      FakeServer.reply(exchange, 200, table.operationCounts());
      return;
    }
    String target = target(path);
    InjectedFaults targetFaults = faults.get(target);
    if (targetFaults.cutsConnection(exchange.getRequestHeaders().getFirst("X-Client"))) {
      exchange.close();
      return;
    }
    if (targetFaults.latencyMillis() > 0) {
      Thread.sleep(targetFaults.latencyMillis());
    }
    switch (target) {
      case "objects" -> handleObject(exchange);
      case "vms" -> vms.handle(exchange);
      case "power" -> power.handle(exchange, targetFaults);
      case "usage" -> usage.handle(exchange, targetFaults);
      default -> table.handle(exchange, targetFaults);
    }
  }

  private static String target(String path) {
    if (path.startsWith("/v1/objects")) {
      return "objects";
    }
    if (path.startsWith("/v1/vms")) {
      return "vms";
    }
    if (path.startsWith("/v1/zones") || path.startsWith("/v1/power")) {
      return "power";
    }
    return path.startsWith("/v1/usage") ? "usage" : "table";
  }

  private void handleObject(HttpExchange exchange) throws IOException {
    String name = exchange.getRequestURI().getPath().substring("/v1/objects/".length());
    if (exchange.getRequestMethod().equals("PUT")) {
      objects.put(name, FakeServer.readJson(exchange).path("content").asText());
      FakeServer.reply(exchange, 200, Map.of());
      return;
    }
    String content = objects.get(name);
    FakeServer.reply(
        exchange,
        content == null ? 404 : 200,
        content == null ? Map.of() : Map.of("content", content));
  }
}
