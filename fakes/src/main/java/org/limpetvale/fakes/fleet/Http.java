package org.limpetvale.fakes.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Blocking HTTP client of the fleet and its tests. */
public final class Http {
  /** JSON mapper shared by the fleet and its tests. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  private Http() {}

  /**
   * An HTTP response.
   *
   * @param status status code
   * @param body body as text
   * @param headers response headers
   */
  public record Response(int status, String body, java.net.http.HttpHeaders headers) {
    /** Returns the body as JSON. */
    public JsonNode json() {
      try {
        return MAPPER.readTree(body);
      } catch (IOException e) {
        throw new UncheckedIOException("not JSON: " + body, e);
      }
    }

    /** Returns the code of an error response. */
    public String code() {
      return json().path("code").asText();
    }
  }

  /** Sends a request and waits for the complete response. */
  public static Response call(String method, String url, Map<String, String> headers, String body)
      throws IOException, InterruptedException {
    HttpResponse<String> response =
        CLIENT.send(request(method, url, headers, body), HttpResponse.BodyHandlers.ofString());
    return new Response(response.statusCode(), response.body(), response.headers());
  }

  /** Sends a request and returns a response with a streaming body. */
  public static HttpResponse<InputStream> stream(
      String method, String url, Map<String, String> headers, String body)
      throws IOException, InterruptedException {
    return CLIENT.send(
        request(method, url, headers, body), HttpResponse.BodyHandlers.ofInputStream());
  }

  private static HttpRequest request(
      String method, String url, Map<String, String> headers, String body) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(REQUEST_TIMEOUT)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(builder::header);
    return builder.build();
  }
}
