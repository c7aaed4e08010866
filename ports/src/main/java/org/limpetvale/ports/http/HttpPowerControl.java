package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.ports.PowerControl;
import org.limpetvale.ports.ReadResult;

/** {@link PowerControl} over HTTP. */
public final class HttpPowerControl implements PowerControl {
  private final JsonHttpClient http;

  private HttpPowerControl(JsonHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns a power control that sends its calls through the given client. */
  public static HttpPowerControl of(JsonHttpClient http) {
    return new HttpPowerControl(http);
  }

  @Override
  public ReadResult<List<ManagedUpstream>> upstreams(String zone) {
    return switch (http.call("GET", "/v1/zones/" + zone + "/upstreams", null)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body) when status == 200 -> {
        List<ManagedUpstream> units = new ArrayList<>();
        body.path("upstreams").forEach(each -> units.add(unit(each)));
        yield new ReadResult.Success<>(List.copyOf(units));
      }
      case JsonHttpClient.Response other -> new ReadResult.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public OrderResult send(String zone, OrderRow order) {
    String path = "/v1/zones/" + zone + "/orders";
    PowerOrder body =
        new PowerOrder(
            order.orderId(),
            order.epoch(),
            order.sender(),
            order.action().name().toLowerCase(Locale.ROOT),
            order.vm());
    return switch (http.call("POST", path, body)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode ignored) when status == 200 ->
          new OrderResult.Accepted();
      case JsonHttpClient.Response.Replied(int status, JsonNode reply) ->
          new OrderResult.Refused("status " + status + " " + reply.path("detail").asText());
      case JsonHttpClient.Response.NotReached(String detail) -> new OrderResult.Refused(detail);
      case JsonHttpClient.Response.Lost(String detail) -> new OrderResult.Unknown(detail);
    };
  }

  private static ManagedUpstream unit(JsonNode node) {
    return new ManagedUpstream(
        node.path("vm").asText(), node.path("pool").asText(), node.path("running").asBoolean());
  }

  private record PowerOrder(String orderId, long epoch, String sender, String action, String vm) {}
}
