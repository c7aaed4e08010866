package org.limpetvale.fakes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;
import picocli.CommandLine.Command;

/** Demonstrates the request path from end to end with real processes. */
@Command(
    name = "demo",
    description = "Starts a fleet on loopback, sends a few requests and stops the fleet.",
    mixinStandardHelpOptions = true)
final class DemoCommand implements Callable<Integer> {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String QUESTION = "Which gully comes first? [len=6]";

  @Override
  public Integer call() throws Exception {
    print("starting 2 entries, 2 model engines, 1 plain service, 3 sidecars and the platform");
    try (Fleet fleet = Fleet.start(FleetPlan.small().withTls())) {
      Map<String, String> keys = fleet.configure("e1", "dispatch", "depot");
      print("template, 2 workspaces and 2 keys active at both entries");
      sendRequests(fleet, keys.get("dispatch"));
      List<String> lateVms = fleet.stopGracefully();
      print(
          lateVms.isEmpty()
              ? "all daemons stopped gracefully"
              : "did not stop in time: " + lateVms);
      return lateVms.isEmpty() ? 0 : 1;
    }
  }

  private static void sendRequests(Fleet fleet, String key)
      throws IOException, InterruptedException {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + key);
    Http.Response completion =
        Http.call("POST", fleet.entryUrl("e1") + CHAT_PATH, headers, chatBody(false));
    print(
        "complete answer: "
            + completion.status()
            + " "
            + completion
                .json()
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText()
                .trim());
    print(
        "its usage: "
            + completion.json().path("usage").path("prompt_tokens")
            + " prompt and "
            + completion.json().path("usage").path("completion_tokens")
            + " answer tokens");
    print("streamed answer: " + streamAnswer(fleet, headers));
    Map<String, String> bookingHeaders =
        Map.of(
            "Authorization",
            "Bearer " + key,
            "Idempotency-Key",
            "order-1",
            "Content-Type",
            "application/json");
    String bookingUrl = fleet.entryUrl("e1") + "/v1/services/bookings/bookings";
    Http.Response first = Http.call("POST", bookingUrl, bookingHeaders, "{\"drums\":2}");
    print("booking: " + first.status() + " " + first.body());
    Http.Response retry =
        Http.call(
            "POST",
            bookingUrl.replace(fleet.entryUrl("e1"), fleet.entryUrl("e2")),
            bookingHeaders,
            "{\"drums\":2}");
    print("its retry through the other entry: " + retry.status() + " " + retry.body());
    Http.Response open =
        Http.call("GET", fleet.entryUrl("e2") + "/v1/services/bookings/stock", Map.of(), null);
    print("open route without a key: " + open.status() + " " + open.body());
    Http.Response refused =
        Http.call(
            "POST",
            fleet.entryUrl("e2") + CHAT_PATH,
            Map.of("Authorization", "Bearer wrong"),
            chatBody(false));
    print(
        "wrong key: "
            + refused.status()
            + " "
            + refused.code()
            + " ran: "
            + refused.json().path("ran").asText());
  }

  private static String streamAnswer(Fleet fleet, Map<String, String> headers)
      throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(
                Http.stream("POST", fleet.entryUrl("e2") + CHAT_PATH, headers, chatBody(true))
                    .body(),
                StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.equals("data: [DONE]")) {
          return text.toString().trim() + ", then [DONE]";
        }
        if (line.startsWith("data: ")) {
          text.append(
              Http.MAPPER
                  .readTree(line.substring("data: ".length()))
                  .path("choices")
                  .path(0)
                  .path("delta")
                  .path("content")
                  .asText());
        }
      }
    }
    return text + " (ended without [DONE])";
  }

  private static String chatBody(boolean stream) {
    return "{\"model\":\"gully-7b\",\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + QUESTION
        + "\"}]}";
  }

  private static void print(String line) {
    System.out.println("demo: " + line);
  }
}
