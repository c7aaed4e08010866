package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Fake power API, which starts and stops VMs; keeps a journal of the orders received. */
final class FakePower {
  private final boolean checksEpochs;
  private final Map<String, Unit> units = new LinkedHashMap<>();
  private final Map<String, Long> epochs = new LinkedHashMap<>();
  private final List<Order> journal = new ArrayList<>();
  private final AtomicInteger arrivalCount = new AtomicInteger();

  FakePower(boolean checksEpochs) {
    this.checksEpochs = checksEpochs;
  }

  private record Unit(String vm, String zone, String pool, boolean running) {}

  private record Order(
      String zone,
      String orderId,
      long epoch,
      String sender,
      String action,
      String vm,
      boolean taken,
      long atMillis) {}

  synchronized void putUnit(JsonNode unit) {
    String vm = unit.path("vm").asText();
    units.put(
        vm,
        new Unit(
            vm,
            unit.path("zone").asText(),
            unit.path("pool").asText(),
            unit.path("running").asBoolean()));
  }

  void handle(HttpExchange exchange, InjectedFaults faults)
      throws IOException, InterruptedException {
    String[] path = exchange.getRequestURI().getPath().split("/", -1);
    if (path[2].equals("power-journal")) {
      FakeServer.reply(exchange, 200, journal());
      return;
    }
    if (path[2].equals("power-arrivals")) {
      FakeServer.reply(exchange, 200, Map.of("arrivals", arrivalCount.get()));
      return;
    }
    if (path[2].equals("power-units")) {
      putUnit(FakeServer.readJson(exchange));
      FakeServer.reply(exchange, 200, Map.of());
      return;
    }
    String zone = path[3];
    if (path[4].equals("upstreams")) {
      FakeServer.reply(exchange, 200, Map.of("upstreams", unitsOf(zone)));
      return;
    }
    JsonNode order = FakeServer.readJson(exchange);
    arrivalCount.incrementAndGet();
    Thread.sleep(faults.writeLatencyMillis());
    if (faults.consumeRequestLoss()) {
      exchange.close();
      return;
    }
    boolean taken = applyOrder(zone, order);
    if (faults.consumeResponseLoss()) {
      exchange.close();
      return;
    }
    FakeServer.reply(exchange, taken ? 200 : 409, Map.of("detail", taken ? "taken" : "old epoch"));
  }

  private synchronized List<Order> journal() {
    return List.copyOf(journal);
  }

  private synchronized List<Unit> unitsOf(String zone) {
    return units.values().stream().filter(each -> each.zone().equals(zone)).toList();
  }

  private synchronized boolean applyOrder(String zone, JsonNode json) {
    long epoch = json.path("epoch").asLong();
    String vm = json.path("vm").asText();
    String action = json.path("action").asText();
    boolean taken = !checksEpochs || epoch >= epochs.getOrDefault(zone, 0L);
    journal.add(
        new Order(
            zone,
            json.path("orderId").asText(),
            epoch,
            json.path("sender").asText(),
            action,
            vm,
            taken,
            System.currentTimeMillis()));
    if (taken) {
      epochs.merge(zone, epoch, Math::max);
      units.computeIfPresent(
          vm, (name, old) -> new Unit(name, old.zone(), old.pool(), action.equals("start")));
    }
    return taken;
  }
}
