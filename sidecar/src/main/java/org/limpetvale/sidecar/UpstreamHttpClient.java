package org.limpetvale.sidecar;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.limpetvale.ports.http.WholeHeadConnections;

/**
 * HTTP client for the upstream of this sidecar. It opens a connection for each call: a connection
 * of a pool may be dead, and an extra answer on it would be taken for that of the next call.
 */
final class UpstreamHttpClient {
  private static final int MAX_CONNECTIONS = 8192;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;
  private static final long HEALTH_CHECK_TIMEOUT_MILLIS = 500;
  private static final int OK = 200;

  private final CloseableHttpClient client;
  private final String baseUrl;

  private UpstreamHttpClient(CloseableHttpClient client, String baseUrl) {
    this.client = client;
    this.baseUrl = baseUrl;
  }

  /**
   * Returns a client for an upstream.
   *
   * @param baseUrl base URL of the upstream
   * @param readTimeoutMillis read timeout, in milliseconds
   */
  static UpstreamHttpClient of(String baseUrl, long readTimeoutMillis) {
    return new UpstreamHttpClient(singleUse(readTimeoutMillis), baseUrl);
  }

  /** Returns the client that sends the calls. */
  CloseableHttpClient client() {
    return client;
  }

  String url(String path) {
    return baseUrl + path;
  }

  /** Returns whether the upstream passes a health check on a new connection. */
  boolean isHealthy() {
    HttpGet request = new HttpGet(url("/health"));
    request.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.of(HEALTH_CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
            .build());
    try {
      return client.execute(
          request,
          response -> {
            EntityUtils.consume(response.getEntity());
            return response.getCode() == OK;
          });
    } catch (IOException e) {
      return false;
    }
  }

  private static CloseableHttpClient singleUse(long readTimeoutMillis) {
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MILLIS))
            .setSocketTimeout(Timeout.ofMilliseconds(readTimeoutMillis))
            .build();
    return HttpClients.custom()
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableCookieManagement()
        .disableContentCompression()
        .setConnectionReuseStrategy((request, response, context) -> false)
        .setConnectionManager(
            PoolingHttpClientConnectionManagerBuilder.create()
                .setConnectionFactory(WholeHeadConnections.factory())
                .setDefaultConnectionConfig(connection)
                .setMaxConnPerRoute(MAX_CONNECTIONS)
                .setMaxConnTotal(MAX_CONNECTIONS)
                .build())
        .setDefaultRequestConfig(
            RequestConfig.custom()
                .setResponseTimeout(Timeout.ofMilliseconds(readTimeoutMillis))
                .build())
        .build();
  }
}
