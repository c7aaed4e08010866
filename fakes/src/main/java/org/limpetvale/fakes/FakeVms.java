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

/** Stand-in of the VM list, which shows its state of a while ago. */
final class FakeVms {
  private static final int MOST_STATES = 1000;

  private final long lagMillis;
  private final Map<String, JsonNode> vms = new LinkedHashMap<>();
  private final Deque<State> states = new ArrayDeque<>();

  FakeVms(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  private record State(long atMillis, List<JsonNode> vms) {}

  void handle(HttpExchange exchange) throws IOException {
    switch (exchange.getRequestMethod()) {
      case "GET" -> FakeServer.reply(exchange, 200, Map.of("vms", lagging()));
      case "PUT" -> {
        put(FakeServer.json(exchange));
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
    note();
  }

  private synchronized void remove(String name) {
    vms.remove(name);
    note();
  }

  private void note() {
    states.addLast(new State(nowMillis(), new ArrayList<>(vms.values())));
    if (states.size() > MOST_STATES) {
      states.removeFirst();
    }
  }

  private synchronized List<JsonNode> lagging() {
    long until = nowMillis() - lagMillis;
    List<JsonNode> shown = List.of();
    for (State state : states) {
      if (state.atMillis() <= until) {
        shown = state.vms();
      }
    }
    return shown;
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }
}
