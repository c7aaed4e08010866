package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.ports.ObjectStore;
import org.limpetvale.ports.ReadResult;

/** {@link ObjectStore} over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private final JsonHttpClient http;

  private HttpObjectStore(JsonHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns an object store that sends its calls through the given client. */
  public static HttpObjectStore of(JsonHttpClient http) {
    return new HttpObjectStore(http);
  }

  @Override
  public ReadResult<Optional<String>> get(String name) {
    return switch (http.call("GET", "/v1/objects/" + name, null)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body)
          when status == 200 && body.path("content").isTextual() ->
          new ReadResult.Success<>(Optional.of(body.path("content").asText()));
      case JsonHttpClient.Response.Replied(int status, JsonNode ignored) when status == 404 ->
          new ReadResult.Success<>(Optional.empty());
      case JsonHttpClient.Response other -> new ReadResult.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public boolean put(String name, String content) {
    return http.call("PUT", "/v1/objects/" + name, Map.of("content", content))
            instanceof JsonHttpClient.Response.Replied(int status, JsonNode ignored)
        && status == 200;
  }
}
