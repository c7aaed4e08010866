package org.limpetvale.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.Http;

/** Client of the chat completions API. */
final class ChatClient {
  private static final String DATA_PREFIX = "data: ";

  private ChatClient() {}

  /**
   * Result of a streamed request as received by the caller.
   *
   * @param status HTTP status
   * @param text text received
   * @param tokens number of tokens received
   * @param done whether the stream ended with {@code [DONE]}
   * @param code code of the refusal or error event, {@code cut} if the connection failed, otherwise
   *     empty
   * @param ran execution status stated by the refusal or error event, otherwise empty
   * @param usageTokens completion tokens according to the usage block
   */
  record Outcome(
      int status,
      String text,
      int tokens,
      boolean done,
      String code,
      String ran,
      int usageTokens) {}

  static Map<String, String> headers(String key, String requestClass) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Authorization", "Bearer " + key);
    headers.put("Content-Type", "application/json");
    headers.put("X-Request-Class", requestClass);
    return headers;
  }

  static String body(String prompt, boolean stream) {
    return Http.MAPPER
        .createObjectNode()
        .put("model", Fleet.MODEL)
        .put("stream", stream)
        .set(
            "messages",
            Http.MAPPER
                .createArrayNode()
                .add(Http.MAPPER.createObjectNode().put("role", "user").put("content", prompt)))
        .toString();
  }

  static Http.Response complete(Fleet fleet, String entry, String key, String prompt)
      throws IOException, InterruptedException {
    return Http.call(
        "POST",
        fleet.entryUrl(entry) + "/v1/chat/completions",
        headers(key, "cab-question"),
        body(prompt, false));
  }

  static Outcome stream(Fleet fleet, String entry, String key, String prompt)
      throws IOException, InterruptedException {
    return stream(fleet, entry, key, "cab-question", prompt, token -> {});
  }

  /** Streams an answer and calls the listener with the running token count at each token. */
  static Outcome stream(
      Fleet fleet,
      String entry,
      String key,
      String requestClass,
      String prompt,
      IntConsumer onToken)
      throws IOException, InterruptedException {
    HttpResponse<java.io.InputStream> response =
        Http.stream(
            "POST",
            fleet.entryUrl(entry) + "/v1/chat/completions",
            headers(key, requestClass),
            body(prompt, true));
    if (response.statusCode() != 200) {
      var refusal = Http.MAPPER.readTree(response.body());
      return new Outcome(
          response.statusCode(),
          "",
          0,
          false,
          refusal.path("code").asText(),
          refusal.path("ran").asText(),
          0);
    }
    return read(response, onToken);
  }

  private static Outcome read(HttpResponse<java.io.InputStream> response, IntConsumer onToken) {
    StringBuilder text = new StringBuilder();
    int tokens = 0;
    int usageTokens = 0;
    String code = "";
    String ran = "";
    boolean done = false;
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.equals(DATA_PREFIX + "[DONE]")) {
          done = true;
        } else if (line.startsWith(DATA_PREFIX)) {
          var event = Http.MAPPER.readTree(line.substring(DATA_PREFIX.length()));
          String delta = event.path("choices").path(0).path("delta").path("content").asText();
          if (!delta.isEmpty()) {
            text.append(delta);
            tokens++;
            onToken.accept(tokens);
          }
          usageTokens = event.path("usage").path("completion_tokens").asInt(usageTokens);
          code = event.path("code").asText(code);
          ran = event.path("ran").asText(ran);
        }
      }
    } catch (IOException e) {
      code = "cut";
    }
    return new Outcome(200, text.toString(), tokens, done, code, ran, usageTokens);
  }

  /** Returns the text that the fake engine generates for a prompt. */
  static String scriptedText(String prompt, int length) {
    StringBuilder text = new StringBuilder();
    int seed = (prompt + "\n").hashCode();
    for (int i = 0; i < length; i++) {
      text.append(" w").append(Math.floorMod(seed * 31 + i * 7919, 9973));
    }
    return text.toString();
  }
}
