package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.ports.ObjectStore;
import org.limpetvale.ports.Read;

/** The object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private final JsonHttp http;

  private HttpObjectStore(JsonHttp http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns the object store behind a client. */
  public static HttpObjectStore of(JsonHttp http) {
    return new HttpObjectStore(http);
  }

  @Override
  public Read<Optional<String>> get(String name) {
    return switch (http.call("GET", "/v1/objects/" + name, null)) {
      case JsonHttp.Answer.Replied(int status, JsonNode body) when status == 200 ->
          new Read.Found<>(Optional.of(body.path("content").asText()));
      case JsonHttp.Answer.Replied(int status, JsonNode ignored) when status == 404 ->
          new Read.Found<>(Optional.empty());
      case JsonHttp.Answer other -> new Read.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public boolean put(String name, String content) {
    return http.call("PUT", "/v1/objects/" + name, Map.of("content", content))
            instanceof JsonHttp.Answer.Replied(int status, JsonNode ignored)
        && status == 200;
  }
}
