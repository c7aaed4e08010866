package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Fake usage API; keeps a journal of the reports received. */
final class FakeUsage {
  private final List<JsonNode> journal = new ArrayList<>();

  void handle(HttpExchange exchange, InjectedFaults faults) throws IOException {
    if (exchange.getRequestMethod().equals("GET")) {
      FakeServer.reply(exchange, 200, journal());
      return;
    }
    JsonNode report = FakeServer.readJson(exchange);
    if (faults.consumeRequestLoss()) {
      exchange.close();
      return;
    }
    add(report);
    if (faults.consumeResponseLoss()) {
      exchange.close();
      return;
    }
    FakeServer.reply(exchange, 200, Map.of());
  }

  private synchronized void add(JsonNode report) {
    journal.add(report);
  }

  private synchronized List<JsonNode> journal() {
    return List.copyOf(journal);
  }
}
