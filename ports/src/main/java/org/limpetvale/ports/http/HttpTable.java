package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.ports.CommitResult;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;

/** {@link Table} over HTTP. */
public final class HttpTable implements Table {
  private final JsonHttpClient http;

  private HttpTable(JsonHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns a table that sends its calls through the given client. */
  public static HttpTable of(JsonHttpClient http) {
    return new HttpTable(http);
  }

  @Override
  public ReadResult<Optional<Row>> get(String key) {
    return switch (http.call("GET", "/v1/rows?key=" + encode(key), null)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body)
          when status == 200 && body.path("revision").isIntegralNumber() ->
          new ReadResult.Success<>(Optional.of(row(body)));
      case JsonHttpClient.Response.Replied(int status, JsonNode ignored) when status == 404 ->
          new ReadResult.Success<>(Optional.empty());
      case JsonHttpClient.Response other -> new ReadResult.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public ReadResult<List<Row>> scan(String prefix, String after, int limit) {
    String path =
        "/v1/scan?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
    return switch (http.call("GET", path, null)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body)
          when status == 200 && body.path("rows").isArray() -> {
        List<Row> rows = new ArrayList<>();
        body.path("rows").forEach(each -> rows.add(row(each)));
        yield new ReadResult.Success<>(List.copyOf(rows));
      }
      case JsonHttpClient.Response other -> new ReadResult.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public CommitResult commit(Transaction transaction) {
    return switch (http.call("POST", "/v1/transactions", transaction)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body)
          when status == 200 && body.path("revision").isIntegralNumber() ->
          new CommitResult.Committed(body.path("revision").asLong());
      case JsonHttpClient.Response.Replied(int status, JsonNode ignored) when status == 409 ->
          new CommitResult.Conflict();
      case JsonHttpClient.Response.Replied(int status, JsonNode ignored)
          when status == 429 || status == 503 ->
          new CommitResult.Unavailable("status " + status);
      case JsonHttpClient.Response.NotReached(String detail) ->
          new CommitResult.Unavailable(detail);
      case JsonHttpClient.Response other -> new CommitResult.Unknown(String.valueOf(other));
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
