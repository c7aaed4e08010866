package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends JSON over HTTP to one service of the platform. It never retries a call, and opens a
 * connection for each: on a reused one, an extra answer would be taken for that of the next call.
 */
public final class JsonHttpClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_CONNECTIONS = 32;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private final CloseableHttpClient client;
  private final String baseUrl;
  private final String processName;

  private JsonHttpClient(CloseableHttpClient client, String baseUrl, String processName) {
    this.client = client;
    this.baseUrl = baseUrl;
    this.processName = processName;
  }

  /** The outcome of a call. */
  public sealed interface Response {
    /** The service has answered. */
    record Replied(int status, JsonNode body) implements Response {}

    /** The connection failed; the service has not received the call. */
    record NotReached(String detail) implements Response {}

    /** No answer arrived; the service may have received the call. */
    record Lost(String detail) implements Response {}
  }

  /**
   * Returns a client for one service.
   *
   * @param baseUrl base URL of the service
   * @param processName name of this process, sent as {@code X-Client}
   * @param timeoutMillis timeout of a call, in milliseconds
   */
  public static JsonHttpClient of(String baseUrl, String processName, long timeoutMillis) {
    Objects.requireNonNull(baseUrl, "baseUrl is null");
    Objects.requireNonNull(processName, "processName is null");
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MILLIS))
            .setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis))
            .build();
    PoolingHttpClientConnectionManager connections =
        PoolingHttpClientConnectionManagerBuilder.create()
            .setConnectionFactory(WholeHeadConnections.factory())
            .setDefaultConnectionConfig(connection)
            .setMaxConnPerRoute(MAX_CONNECTIONS)
            .setMaxConnTotal(MAX_CONNECTIONS)
            .build();
    CloseableHttpClient client =
        HttpClients.custom()
            .disableAutomaticRetries()
            .disableCookieManagement()
            .setConnectionReuseStrategy((request, response, context) -> false)
            .setConnectionManager(connections)
            .setDefaultRequestConfig(
                RequestConfig.custom()
                    .setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
                    .setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
                    .build())
            .build();
    return new JsonHttpClient(client, baseUrl, processName);
  }

  /**
   * Makes one call, without retries.
   *
   * @param method HTTP method
   * @param path path and query, relative to the base URL
   * @param body body, written as JSON; null for none
   */
  public Response call(String method, String path, Object body) {
    HttpUriRequestBase request;
    try {
      request = new HttpUriRequestBase(method, java.net.URI.create(baseUrl + path));
      request.setHeader("X-Client", processName);
      if (body != null) {
        request.setEntity(
            new StringEntity(MAPPER.writeValueAsString(body), ContentType.APPLICATION_JSON));
      }
    } catch (IOException e) {
      throw new IllegalStateException("body cannot be written as JSON", e);
    }
    try {
      return client.execute(
          request,
          response -> {
            String text =
                response.getEntity() == null
                    ? ""
                    : EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
            return new Response.Replied(response.getCode(), parse(text));
          });
    } catch (ConnectException e) {
      return new Response.NotReached(String.valueOf(e.getMessage()));
    } catch (IOException e) {
      return new Response.Lost(e.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }

  private static JsonNode parse(String text) throws IOException {
    return text.isEmpty() ? MAPPER.createObjectNode() : MAPPER.readTree(text);
  }
}
