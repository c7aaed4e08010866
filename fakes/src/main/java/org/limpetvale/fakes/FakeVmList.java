package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Fake VM list that returns its state as of a configurable time ago. */
final class FakeVmList {
  private static final int MAX_STATES = 1000;

  private final long lagMillis;
  private final Map<String, JsonNode> vms = new LinkedHashMap<>();
  private final Deque<State> states = new ArrayDeque<>();

  FakeVmList(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  private record State(long atMillis, List<JsonNode> vms) {}

  void handle(HttpExchange exchange) throws IOException {
    switch (exchange.getRequestMethod()) {
      case "GET" -> FakeServer.reply(exchange, 200, Map.of("vms", laggedVms()));
      case "PUT" -> {
        put(FakeServer.readJson(exchange));
        FakeServer.reply(exchange, 200, Map.of());
      }
      case "DELETE" -> {
        remove(exchange.getRequestURI().getPath().replaceFirst(".*/", ""));
        FakeServer.reply(exchange, 200, Map.of());
      }
      default -> FakeServer.reply(exchange, 405, Map.of());
    }
  }

  synchronized void put(JsonNode vm) {
    vms.put(vm.path("name").asText(), vm);
    recordState();
  }

  private synchronized void remove(String name) {
    vms.remove(name);
    recordState();
  }

  private void recordState() {
    states.addLast(new State(nowMillis(), new ArrayList<>(vms.values())));
    if (states.size() > MAX_STATES) {
      states.removeFirst();
    }
  }

  private synchronized List<JsonNode> laggedVms() {
    long cutoffMillis = nowMillis() - lagMillis;
    List<JsonNode> visible = List.of();
    for (State state : states) {
      if (state.atMillis() <= cutoffMillis) {
        visible = state.vms();
      }
    }
    return visible;
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
