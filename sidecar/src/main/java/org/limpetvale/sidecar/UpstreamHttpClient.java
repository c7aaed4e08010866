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
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** HTTP to the upstream beside this process. */
final class UpstreamHttpClient {
  private static final int MAX_CONNECTIONS = 8192;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;
  private static final long HEALTH_CHECK_TIMEOUT_MILLIS = 500;
  private static final int OK = 200;

  private final CloseableHttpClient pooled;
  private final CloseableHttpClient singleUse;
  private final String baseUrl;

  private UpstreamHttpClient(
      CloseableHttpClient client, CloseableHttpClient singleUse, String baseUrl) {
    this.pooled = client;
    this.singleUse = singleUse;
    this.baseUrl = baseUrl;
  }

  /**
   * Returns a client.
   *
   * @param baseUrl address of the upstream
   * @param readLimitMillis longest silence on a connection, in milliseconds
   */
  static UpstreamHttpClient of(String baseUrl, long readLimitMillis) {
    return new UpstreamHttpClient(
        pooled(readLimitMillis, TimeValue.ofMinutes(1)),
        pooled(readLimitMillis, TimeValue.ZERO_MILLISECONDS),
        baseUrl);
  }

  /** Returns the client that keeps connections, for calls that may be repeated. */
  CloseableHttpClient pooled() {
    return pooled;
  }

  /**
   * Returns the client that opens a connection for each call, so that no call that may not be
   * repeated is sent on a connection that has gone silent.
   */
  CloseableHttpClient singleUse() {
    return singleUse;
  }

  String url(String path) {
    return baseUrl + path;
  }

  /** Tells whether the upstream answers a health check on a new connection. */
  boolean isHealthy() {
    HttpGet request = new HttpGet(url("/health"));
    request.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.of(HEALTH_CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
            .build());
    try {
      return singleUse.execute(
          request,
          response -> {
            EntityUtils.consume(response.getEntity());
            return response.getCode() == OK;
          });
    } catch (IOException e) {
      return false;
    }
  }

  private static CloseableHttpClient pooled(long readLimitMillis, TimeValue timeToLive) {
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MILLIS))
            .setSocketTimeout(Timeout.ofMilliseconds(readLimitMillis))
            .setTimeToLive(timeToLive)
            .build();
    return HttpClients.custom()
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableCookieManagement()
        .disableContentCompression()
        .setConnectionReuseStrategy(
            (request, response, context) -> timeToLive.compareTo(TimeValue.ZERO_MILLISECONDS) > 0)
        .setConnectionManager(
            PoolingHttpClientConnectionManagerBuilder.create()
                .setDefaultConnectionConfig(connection)
                .setMaxConnPerRoute(MAX_CONNECTIONS)
                .setMaxConnTotal(MAX_CONNECTIONS)
                .build())
        .setDefaultRequestConfig(
            RequestConfig.custom()
                .setResponseTimeout(Timeout.ofMilliseconds(readLimitMillis))
                .build())
        .build();
  }
}
