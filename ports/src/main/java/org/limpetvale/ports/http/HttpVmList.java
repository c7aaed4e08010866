package org.limpetvale.ports.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Vm;
import org.limpetvale.ports.VmList;

/** {@link VmList} over HTTP. */
public final class HttpVmList implements VmList {
  private final JsonHttpClient http;

  private HttpVmList(JsonHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns a VM list that sends its calls through the given client. */
  public static HttpVmList of(JsonHttpClient http) {
    return new HttpVmList(http);
  }

  @Override
  public ReadResult<List<Vm>> list() {
    return switch (http.call("GET", "/v1/vms", null)) {
      case JsonHttpClient.Response.Replied(int status, JsonNode body)
          when status == 200 && body.path("vms").isArray() -> {
        List<Vm> vms = new ArrayList<>();
        body.path("vms").forEach(each -> vms.add(vm(each)));
        yield new ReadResult.Success<>(List.copyOf(vms));
      }
      case JsonHttpClient.Response other -> new ReadResult.Unavailable<>(String.valueOf(other));
    };
  }

  private static Vm vm(JsonNode node) {
    return new Vm(
        node.path("name").asText(),
        node.path("zone").asText(),
        Vm.Role.valueOf(node.path("role").asText().toUpperCase(Locale.ROOT)),
        node.path("pool").asText(),
        node.path("address").asText(),
        node.path("leaving").asBoolean());
  }
}
