package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/** End-to-end tests of the request path: answers, services, refusals and malformed input. */
final class PathTest {
  private static Fleet fleet;
  private static String key;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small().withEngineOptions("--record"));
    key = fleet.configure("e1", "dispatch", "depot").get("dispatch");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @Test
  void aCompleteAnswerHasTheEnginesTextAndUsage() throws Exception {
    Http.Response answer = ChatClient.complete(fleet, "e1", key, "plan the round [len=9]");
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.json().path("choices").path(0).path("message").path("content").asText())
        .isEqualTo(ChatClient.scriptedText("plan the round [len=9]", 9));
    assertThat(answer.json().path("usage").path("completion_tokens").asInt()).isEqualTo(9);
  }

  @Test
  void aStreamedAnswerHasTheEnginesTextAndEndsWithDone() throws Exception {
    ChatClient.Outcome outcome = ChatClient.stream(fleet, "e2", key, "stream it [len=12]");
    assertThat(outcome.text()).isEqualTo(ChatClient.scriptedText("stream it [len=12]", 12));
    assertThat(outcome.done()).isTrue();
    assertThat(outcome.usageTokens()).isEqualTo(12);
  }

  @Test
  void theFirstTokenReachesTheCallerBeforeTheAnswerIsComplete() throws Exception {
    long[] firstMillis = new long[1];
    long startMillis = System.currentTimeMillis();
    ChatClient.stream(
        fleet,
        "e1",
        key,
        "cab-question",
        "first soon [len=60]",
        token -> {
          if (token == 1) {
            firstMillis[0] = System.currentTimeMillis() - startMillis;
          }
        });
    assertThat(firstMillis[0]).isLessThan((System.currentTimeMillis() - startMillis) / 2);
  }

  @Test
  void theModelsOfTheWorkspaceAreListed() throws Exception {
    Http.Response answer =
        Http.call(
            "GET", fleet.entryUrl("e1") + "/v1/models", ChatClient.headers(key, "summary"), null);
    assertThat(answer.json().path("data").path(0).path("id").asText()).isEqualTo(Fleet.MODEL);
  }

  @Test
  void explainShowsTheCandidatesOfARequest() throws Exception {
    Http.Response answer = ChatClient.complete(fleet, "e1", key, "explain me");
    String requestId = answer.headers().firstValue("X-Request-Id").orElseThrow();
    Http.Response explained = fleet.callOperatorApi("e1", "GET", "/requests/" + requestId, null);
    assertThat(explained.json().path(0).path("candidates").toString()).contains("m1", "m2");
  }

  @Test
  void metricsIncludeAttainmentAndControlBytes() throws Exception {
    ChatClient.complete(fleet, "e1", key, "count me");
    assertThat(fleet.metrics("e1"))
        .contains("limpetvale_requests_total{class=\"cab-question\"")
        .contains("limpetvale_control_bytes_total{with=\"sidecar\"}");
  }

  @Test
  void aPlainServiceGetsMethodPathAndBodyAndItsHeadersComeBack() throws Exception {
    Http.Response stock =
        Http.call(
            "GET", serviceUrl("/stock?depot=1"), ChatClient.headers(key, "cab-question"), null);
    assertThat(stock.status()).isEqualTo(200);
    assertThat(stock.headers().firstValue("X-Stock-Depot")).hasValue("south");
    assertThat(stock.json().path("drums").asInt()).isEqualTo(42);
    assertThat(receivedByService()).contains("/stock?depot=1");
  }

  @Test
  void anOpenRouteNeedsNoKeyAndOthersDo() throws Exception {
    assertThat(Http.call("GET", serviceUrl("/stock"), Map.of(), null).status()).isEqualTo(200);
    Http.Response refused = Http.call("POST", serviceUrl("/bookings"), Map.of(), "{}");
    assertThat(refused.status()).isEqualTo(401);
    assertThat(refused.code()).isEqualTo("LV-1001");
  }

  @Test
  void aWrongKeyIsRefusedAsNotRun() throws Exception {
    Http.Response refused = ChatClient.complete(fleet, "e1", "lv-0000", "no");
    assertThat(refused.status()).isEqualTo(401);
    assertThat(refused.code()).isEqualTo("LV-1002");
    assertThat(refused.json().path("ran").asText()).isEqualTo("not_run");
    assertThat(refused.json().path("error").path("message").asText()).isNotEmpty();
  }

  @Test
  void noUpstreamReceivesTheKey() throws Exception {
    Map<String, String> headers = ChatClient.headers(key, "cab-question");
    headers.put("X-Api-Key", key);
    headers.put("X-Custom", "prefix " + key);
    Http.call("POST", serviceUrl("/bookings"), headers, "{\"a\":1}");
    Http.call(
        "POST",
        fleet.entryUrl("e1") + "/v1/chat/completions",
        headers,
        ChatClient.body("hello", false));
    Http.Response inBody =
        Http.call("POST", serviceUrl("/bookings"), headers, "{\"k\":\"" + key + "\"}");
    assertThat(inBody.status()).isEqualTo(400);
    String receivedByUpstreams = receivedByService();
    for (String engine : new String[] {"m1", "m2"}) {
      receivedByUpstreams +=
          Http.call("GET", fleet.upstreamUrl(engine) + "/journal", Map.of(), null).body();
    }
    assertThat(receivedByUpstreams).contains("hello").doesNotContain(key);
  }

  @Test
  void logsContainNoKeysOrPrompts() throws Exception {
    ChatClient.complete(fleet, "e1", key, "a-very-secret-prompt");
    for (String vm : new String[] {"e1", "e2", "m1", "m2", "s1"}) {
      assertThat(fleet.process(vm).output())
          .doesNotContain(key)
          .doesNotContain("a-very-secret-prompt");
    }
  }

  @Test
  void malformedBodiesGetAClearError() throws Exception {
    assertThat(post("{").code()).isEqualTo("LV-2001");
    assertThat(post("[]").code()).isEqualTo("LV-2001");
    assertThat(post("[".repeat(10_000)).code()).isEqualTo("LV-2001");
    assertThat(post("{\"model\":1}").code()).isEqualTo("LV-2003");
    assertThat(post("{\"model\":\"gully-7b\",\"messages\":[]}").code()).isEqualTo("LV-2003");
  }

  @Test
  void tokenLimitsOutOfRangeAreRefused() throws Exception {
    String start = "{\"model\":\"gully-7b\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],";
    assertThat(post(start + "\"max_tokens\":-1}").code()).isEqualTo("LV-2003");
    assertThat(post(start + "\"max_tokens\":99999999999}").code()).isEqualTo("LV-2003");
    assertThat(post(start + "\"max_tokens\":\"many\"}").code()).isEqualTo("LV-2003");
  }

  @Test
  void anUnknownModelOrClassIsRefused() throws Exception {
    String unknown = "{\"model\":\"other\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    assertThat(post(unknown).code()).isEqualTo("LV-1005");
    Http.Response answer =
        Http.call(
            "POST",
            fleet.entryUrl("e1") + "/v1/chat/completions",
            ChatClient.headers(key, "no-such-class"),
            ChatClient.body("x", false));
    assertThat(answer.code()).isEqualTo("LV-1004");
  }

  @Test
  void aBodyBeyondTheLimitIsRefused() throws Exception {
    assertThat(post("\"" + "x".repeat(5 << 20) + "\"").code()).isEqualTo("LV-2002");
  }

  @Test
  void oversizedHeadersAndKeysAreRefusedAndTheEntryKeepsServing() throws Exception {
    String oversizedHeader = "X-Flood: " + "y".repeat(100_000) + "\r\n";
    assertThat(sendRaw("GET /v1/models HTTP/1.1\r\nHost: x\r\n" + oversizedHeader + "\r\n"))
        .contains(" 431 ");
    String oversizedKey = "Authorization: Bearer " + "k".repeat(4000) + "\r\n";
    assertThat(
            sendRaw(
                "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    + oversizedKey
                    + "\r\n"))
        .contains(" 401 ");
    assertThat(ChatClient.complete(fleet, "e1", key, "still there").status()).isEqualTo(200);
  }

  @Test
  void unknownFieldsAndWrongTypesInOperatorInputAreAllListed() throws Exception {
    String bad =
        "{\"type\":\"put-parameters\",\"parameters\":{\"workspace\":\"w\",\"templat\":\"x\","
            + "\"template\":\"field-work\",\"weight\":\"heavy\"}}";
    Http.Response refused = fleet.callOperatorApi("e1", "POST", "/changes", bad);
    assertThat(refused.status()).isEqualTo(422);
    assertThat(refused.json().path("detail").asText()).contains("templat").contains("heavy");
  }

  @Test
  void operatorCallsRequireAnOperatorKey() throws Exception {
    Http.Response refused =
        Http.call(
            "GET",
            fleet.entryUrl("e1") + "/v1/admin/keys",
            ChatClient.headers(key, "cab-question"),
            null);
    assertThat(refused.code()).isEqualTo("LV-1007");
  }

  private static Http.Response post(String body) throws IOException, InterruptedException {
    return Http.call(
        "POST",
        fleet.entryUrl("e1") + "/v1/chat/completions",
        ChatClient.headers(key, "cab-question"),
        body);
  }

  private static String serviceUrl(String path) {
    return fleet.entryUrl("e2") + "/v1/services/bookings" + path;
  }

  private static String receivedByService() throws IOException, InterruptedException {
    return Http.call("GET", fleet.upstreamUrl("s1") + "/received", Map.of(), null).body();
  }

  private static String sendRaw(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fleet.node("e1").httpPort())) {
      socket.setSoTimeout(5000);
      OutputStream out = socket.getOutputStream();
      out.write(request.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      InputStream in = socket.getInputStream();
      return new String(in.readNBytes(64), StandardCharsets.US_ASCII);
    }
  }
}
