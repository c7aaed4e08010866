package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import org.limpetvale.core.usage.UsageFigures;
import org.limpetvale.ports.UsageSink;

/** {@link UsageSink} over HTTP. */
public final class HttpUsageSink implements UsageSink {
  private final JsonHttpClient http;
  private final String processName;

  private HttpUsageSink(JsonHttpClient http, String processName) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.processName = Objects.requireNonNull(processName, "processName is null");
  }

  /**
   * Returns a usage sink that sends its calls through the given client.
   *
   * @param http the client
   * @param processName name of this process, sent with each report
   */
  public static HttpUsageSink of(JsonHttpClient http, String processName) {
    return new HttpUsageSink(http, processName);
  }

  @Override
  public boolean report(String workspace, long window, UsageFigures figures) {
    Report report = new Report(workspace, window, processName, figures);
    return http.call("POST", "/v1/usage", report)
            instanceof JsonHttpClient.Response.Replied(int status, JsonNode ignored)
        && status == 200;
  }

  private record Report(String workspace, long window, String sender, UsageFigures figures) {}
}
