package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.ports.PowerInterface;
import org.limpetvale.ports.Read;

/** The start and stop interface over HTTP. */
public final class HttpPower implements PowerInterface {
  private final JsonHttp http;

  private HttpPower(JsonHttp http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns the interface behind a client. */
  public static HttpPower of(JsonHttp http) {
    return new HttpPower(http);
  }

  @Override
  public Read<List<Unit>> units(String zone) {
    return switch (http.call("GET", "/v1/zones/" + zone + "/upstreams", null)) {
      case JsonHttp.Answer.Replied(int status, JsonNode body) when status == 200 -> {
        List<Unit> units = new ArrayList<>();
        body.path("upstreams").forEach(each -> units.add(unit(each)));
        yield new Read.Found<>(List.copyOf(units));
      }
      case JsonHttp.Answer other -> new Read.Unavailable<>(String.valueOf(other));
    };
  }

  @Override
  public Answer send(String zone, OrderRow order) {
    String path = "/v1/zones/" + zone + "/orders";
    PowerOrder body =
        new PowerOrder(
            order.orderId(),
            order.epoch(),
            order.sender(),
            order.action().name().toLowerCase(Locale.ROOT),
            order.vm());
    return switch (http.call("POST", path, body)) {
      case JsonHttp.Answer.Replied(int status, JsonNode ignored) when status == 200 ->
          new Answer.Taken();
      case JsonHttp.Answer.Replied(int status, JsonNode reply) ->
          new Answer.Refused("status " + status + " " + reply.path("detail").asText());
      case JsonHttp.Answer.NotReached(String detail) -> new Answer.Refused(detail);
      case JsonHttp.Answer.Lost(String detail) -> new Answer.Unknown(detail);
    };
  }

  private static Unit unit(JsonNode node) {
    return new Unit(
        node.path("vm").asText(), node.path("pool").asText(), node.path("running").asBoolean());
  }

  private record PowerOrder(String orderId, long epoch, String sender, String action, String vm) {}
}
