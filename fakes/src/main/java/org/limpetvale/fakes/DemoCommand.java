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

/** Shows the whole path once, with real processes. */
@Command(
    name = "demo",
    description = "Starts a fleet on loopback, sends a few requests and stops it.",
    mixinStandardHelpOptions = true)
final class DemoCommand implements Callable<Integer> {
  private static final String CHAT = "/v1/chat/completions";
  private static final String QUESTION = "Which gully comes first? [len=6]";

  @Override
  public Integer call() throws Exception {
    say("starting 2 entries, 2 model engines, 1 plain service, 3 sidecars and the platform");
    try (Fleet fleet = Fleet.start(FleetPlan.small().withTls())) {
      Map<String, String> keys = fleet.configure("e1", "dispatch", "depot");
      say("template, 2 workspaces and 2 keys in force at both entries");
      show(fleet, keys.get("dispatch"));
      List<String> late = fleet.stopGracefully();
      say(late.isEmpty() ? "all daemons stopped gracefully" : "stopped late: " + late);
      return late.isEmpty() ? 0 : 1;
    }
  }

  private static void show(Fleet fleet, String key) throws IOException, InterruptedException {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + key);
    Http.Answer whole = Http.call("POST", fleet.url("e1") + CHAT, headers, chat(false));
    say(
        "whole answer: "
            + whole.status()
            + " "
            + whole.json().path("choices").path(0).path("message").path("content").asText().trim());
    say(
        "its usage: "
            + whole.json().path("usage").path("prompt_tokens")
            + " prompt and "
            + whole.json().path("usage").path("completion_tokens")
            + " answer tokens");
    say("streamed answer: " + streamed(fleet, headers));
    Map<String, String> once =
        Map.of(
            "Authorization",
            "Bearer " + key,
            "Idempotency-Key",
            "order-1",
            "Content-Type",
            "application/json");
    String booking = fleet.url("e1") + "/v1/services/bookings/bookings";
    Http.Answer first = Http.call("POST", booking, once, "{\"drums\":2}");
    say("booking: " + first.status() + " " + first.body());
    Http.Answer repeat =
        Http.call("POST", booking.replace(fleet.url("e1"), fleet.url("e2")), once, "{\"drums\":2}");
    say("its repeat through the other entry: " + repeat.status() + " " + repeat.body());
    Http.Answer open =
        Http.call("GET", fleet.url("e2") + "/v1/services/bookings/stock", Map.of(), null);
    say("open route without a key: " + open.status() + " " + open.body());
    Http.Answer refused =
        Http.call(
            "POST", fleet.url("e2") + CHAT, Map.of("Authorization", "Bearer wrong"), chat(false));
    say(
        "wrong key: "
            + refused.status()
            + " "
            + refused.code()
            + " ran: "
            + refused.json().path("ran").asText());
  }

  private static String streamed(Fleet fleet, Map<String, String> headers)
      throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(
                Http.stream("POST", fleet.url("e2") + CHAT, headers, chat(true)).body(),
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
    return text + " and no end";
  }

  private static String chat(boolean stream) {
    return "{\"model\":\"gully-7b\",\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + QUESTION
        + "\"}]}";
  }

  private static void say(String line) {
    System.out.println("demo: " + line);
  }
}
