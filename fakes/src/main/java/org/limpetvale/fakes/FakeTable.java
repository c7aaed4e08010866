package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Fake transactional table. */
final class FakeTable {
  private final NavigableMap<String, Row> rows = new TreeMap<>();
  private final RateLimiter reads;
  private final RateLimiter writes;
  private long revision;

  FakeTable(double readsPerSecond, double writesPerSecond) {
    this.reads = new RateLimiter(readsPerSecond);
    this.writes = new RateLimiter(writesPerSecond);
  }

  private record Row(String key, long revision, String value) {}

  void handle(HttpExchange exchange, InjectedFaults faults) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/v1/transactions")) {
      commit(exchange, faults);
      return;
    }
    if (!reads.tryAcquire()) {
      FakeServer.reply(exchange, 429, Map.of("detail", "too many reads"));
      return;
    }
    Map<String, String> query = FakeServer.queryParameters(exchange);
    if (path.equals("/v1/rows")) {
      Row row = row(query.get("key"));
      FakeServer.reply(exchange, row == null ? 404 : 200, row == null ? Map.of() : row);
    } else {
      List<Row> found =
          scan(
              query.get("prefix"),
              query.getOrDefault("after", ""),
              Integer.parseInt(query.get("limit")));
      FakeServer.reply(exchange, 200, Map.of("rows", found));
    }
  }

  Map<String, Long> operationCounts() {
    return Map.of("reads", reads.acquiredCount(), "writes", writes.acquiredCount());
  }

  private void commit(HttpExchange exchange, InjectedFaults faults) throws IOException {
    JsonNode transaction = FakeServer.readJson(exchange);
    if (!writes.tryAcquire()) {
      FakeServer.reply(exchange, 429, Map.of("detail", "too many writes"));
      return;
    }
    if (faults.consumeRequestLoss()) {
      exchange.close();
      return;
    }
    long committed = apply(transaction);
    if (faults.consumeResponseLoss()) {
      exchange.close();
      return;
    }
    FakeServer.reply(
        exchange,
        committed > 0 ? 200 : 409,
        committed > 0 ? Map.of("revision", committed) : Map.of("detail", "conflict"));
  }

  private synchronized long apply(JsonNode transaction) {
    for (JsonNode check : transaction.path("checks")) {
      Row row = rows.get(check.path("key").asText());
      long currentRevision = row == null ? 0 : row.revision();
      if (currentRevision != check.path("revision").asLong()) {
        return 0;
      }
    }
    revision++;
    for (JsonNode put : transaction.path("puts")) {
      String key = put.path("key").asText();
      rows.put(key, new Row(key, revision, put.path("value").asText()));
    }
    transaction.path("deletes").forEach(key -> rows.remove(key.asText()));
    return revision;
  }

  private synchronized Row row(String key) {
    return rows.get(key);
  }

  private synchronized List<Row> scan(String prefix, String after, int limit) {
    String from = after.isEmpty() ? prefix : after;
    List<Row> found = new ArrayList<>();
    for (Row row : rows.tailMap(from, after.isEmpty()).values()) {
      if (!row.key().startsWith(prefix) || found.size() >= limit) {
        break;
      }
      found.add(row);
    }
    return found;
  }
}
