package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.ports.Commit;
import org.limpetvale.ports.Read;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;

/** The table over HTTP. */
public final class HttpTable implements Table {
  private final JsonHttp http;

  private HttpTable(JsonHttp http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns the table behind a client. */
  public static HttpTable of(JsonHttp http) {
    return new HttpTable(http);
  }

  @Override
  public Read<Optional<Row>> get(String key) {
    return switch (http.call("GET", "/v1/rows?key=" + encode(key), null)) {
      case JsonHttp.Answer.Replied(int status, JsonNode body) when status == 200 ->
          new Read.Found<>(Optional.of(row(body)));
      case JsonHttp.Answer.Replied(int status, JsonNode ignored) when status == 404 ->
          new Read.Found<>(Optional.empty());
      case JsonHttp.Answer other -> new Read.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public Read<List<Row>> scan(String prefix, String after, int limit) {
    String path =
        "/v1/scan?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
    return switch (http.call("GET", path, null)) {
      case JsonHttp.Answer.Replied(int status, JsonNode body) when status == 200 -> {
        List<Row> rows = new ArrayList<>();
        body.path("rows").forEach(each -> rows.add(row(each)));
        yield new Read.Found<>(List.copyOf(rows));
      }
      case JsonHttp.Answer other -> new Read.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public Commit commit(Transaction transaction) {
    return switch (http.call("POST", "/v1/transactions", transaction)) {
      case JsonHttp.Answer.Replied(int status, JsonNode body) when status == 200 ->
          new Commit.Committed(body.path("revision").asLong());
      case JsonHttp.Answer.Replied(int status, JsonNode ignored) when status == 409 ->
          new Commit.Conflict();
      case JsonHttp.Answer.Replied(int status, JsonNode ignored)
          when status == 429 || status == 503 ->
          new Commit.Unavailable("status " + status);
      case JsonHttp.Answer.NotReached(String detail) -> new Commit.Unavailable(detail);
      case JsonHttp.Answer other -> new Commit.Unknown(String.valueOf(other));
    };
  }

  private static Row row(JsonNode node) {
    return new Row(
        node.path("key").asText(), node.path("revision").asLong(), node.path("value").asText());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
