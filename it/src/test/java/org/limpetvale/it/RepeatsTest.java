package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/**
 * A request with an idempotency key is executed at most once, and a refusal with status {@code
 * not_run} is always correct.
 */
final class RepeatsTest {
  private static Fleet fleet;
  private static String key;
  private static int lastOrderNumber;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small().withSizes(2, 0, 2));
    key = fleet.configure("e1", "dispatch").get("dispatch");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @AfterEach
  void clearFaults() throws Exception {
    fleet.setPlatformFaults(
        "table", "{\"down\":false,\"loseAnswers\":0,\"loseRequests\":0,\"latencyMillis\":0}");
    for (String vm : new String[] {"s1", "s2"}) {
      fleet.setUpstreamFaults(vm, "{\"cutBefore\":0,\"cutAfter\":0,\"workMillis\":5}");
    }
  }

  @Test
  void concurrentRequestsWithTheSameKeyRunOnce() throws Exception {
    String order = nextOrder();
    List<Http.Response> answers =
        ConcurrentCalls.runAll(24, i -> () -> book("e" + (i % 2 + 1), order, "{\"drums\":3}"));
    assertThat(runCount(order)).isEqualTo(1);
    assertThat(answers).anyMatch(answer -> answer.status() == 201);
    assertThat(answers)
        .allMatch(answer -> answer.status() == 201 || answer.code().equals("LV-4005"));
  }

  @Test
  void aRetryGetsTheStoredAnswerAndADifferentBodyIsRefused() throws Exception {
    String order = nextOrder();
    Http.Response first = book("e1", order, "{\"drums\":1}");
    Http.Response retry = book("e2", order, "{\"drums\":1}");
    assertThat(retry.status()).isEqualTo(201);
    assertThat(retry.body()).isEqualTo(first.body());
    assertThat(book("e1", order, "{\"drums\":9}").code()).isEqualTo("LV-2004");
    assertThat(runCount(order)).isEqualTo(1);
  }

  @Test
  void aConnectionCutAfterExecutionIsReportedAsMayHaveRunAndNotRunAgain() throws Exception {
    String order = nextOrder();
    cutBothServices("cutAfter");
    Http.Response first = book("e1", order, "{}");
    assertThat(first.json().path("ran").asText()).isEqualTo("may_have_run");
    clearFaults();
    assertThat(book("e2", order, "{}").json().path("ran").asText()).isEqualTo("may_have_run");
    assertThat(runCount(order)).isEqualTo(1);
  }

  @Test
  void aConnectionCutBeforeExecutionIsAlsoReportedAsMayHaveRun() throws Exception {
    String order = nextOrder();
    cutBothServices("cutBefore");
    Http.Response first = book("e1", order, "{}");
    assertThat(first.json().path("ran").asText()).isEqualTo("may_have_run");
    clearFaults();
    book("e2", order, "{}");
    assertThat(runCount(order)).isZero();
  }

  @Test
  void aCallWhoseClaimResponseIsLostRunsOnce() throws Exception {
    String order = nextOrder();
    fleet.setPlatformFaults("table", "{\"loseAnswers\":1}");
    Http.Response first = book("e1", order, "{}");
    assertThat(first.status()).isEqualTo(201);
    assertThat(book("e2", order, "{}").status()).isEqualTo(201);
    assertThat(runCount(order)).isEqualTo(1);
  }

  @Test
  void duringATableOutageACallIsRefusedAsNotRunAndDoesNotRun() throws Exception {
    String order = nextOrder();
    fleet.setPlatformFaults("table", "{\"down\":true}");
    Http.Response refused = book("e1", order, "{}");
    assertThat(refused.json().path("ran").asText()).isEqualTo("not_run");
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    assertThat(runCount(order)).isZero();
    clearFaults();
    Thread.sleep(3000);
    assertThat(book("e2", order, "{}").status()).isEqualTo(201);
    assertThat(runCount(order)).isEqualTo(1);
  }

  @Test
  void aTableOutageDuringACallDoesNotLoseTheAnswer() throws Exception {
    String order = nextOrder();
    fleet.setUpstreamFaults("s1", "{\"workMillis\":1500}");
    fleet.setUpstreamFaults("s2", "{\"workMillis\":1500}");
    Future<Http.Response> call = ConcurrentCalls.runAsync(() -> book("e1", order, "{}"));
    Thread.sleep(600);
    fleet.setPlatformFaults("table", "{\"down\":true}");
    assertThat(ConcurrentCalls.get(call).status()).isEqualTo(201);
    assertThat(book("e1", order, "{}").status()).isEqualTo(201);
    clearFaults();
    awaitStored("e2", order);
    assertThat(runCount(order)).isEqualTo(1);
  }

  @Test
  void aCallRunsAtMostOnceWhenItsEntryIsKilled() throws Exception {
    String order = nextOrder();
    fleet.setUpstreamFaults("s1", "{\"workMillis\":1500}");
    fleet.setUpstreamFaults("s2", "{\"workMillis\":1500}");
    Future<Boolean> cut =
        ConcurrentCalls.runAsync(
            () -> {
              try {
                return book("e2", order, "{}").status() != 201;
              } catch (IOException e) {
                return true;
              }
            });
    Thread.sleep(600);
    fleet.process("e2").kill();
    assertThat(ConcurrentCalls.get(cut)).isTrue();
    Http.Response retry = book("e1", order, "{}");
    assertThat(retry.json().path("ran").asText()).isEqualTo("may_have_run");
    Thread.sleep(1500);
    book("e1", order, "{}");
    assertThat(runCount(order)).isEqualTo(1);
    fleet.restartDaemon("e2");
    fleet.awaitUpstreams("e2", 2);
  }

  @Test
  void refusalsAsNotRunAreCorrectWhileSidecarsAreKilled() throws Exception {
    Map<String, String> statusByOrder = new HashMap<>();
    Future<?> killer =
        ConcurrentCalls.runAsync(
            () -> {
              for (int i = 0; i < 3; i++) {
                Thread.sleep(700);
                fleet.process("s1").kill();
                fleet.restartDaemon("s1");
              }
              return null;
            });
    List<Map.Entry<String, String>> outcomes =
        ConcurrentCalls.runAll(
            150,
            i ->
                () -> {
                  String order = "kill-" + i;
                  Thread.sleep(i * 20L);
                  Http.Response answer = book("e1", order, "{}");
                  String status =
                      answer.status() == 201 ? "ran" : answer.json().path("ran").asText();
                  return Map.entry(order, status);
                });
    ConcurrentCalls.get(killer);
    fleet.awaitUpstreams("e1", 2);
    outcomes.forEach(each -> statusByOrder.put(each.getKey(), each.getValue()));
    Map<String, Integer> runs = runCountsByKey();
    statusByOrder.forEach(
        (order, status) -> {
          int count = runs.getOrDefault(order, 0);
          assertThat(count).as(order).isLessThanOrEqualTo(1);
          if (status.equals("not_run")) {
            assertThat(count).as(order).isZero();
          }
          if (status.equals("ran")) {
            assertThat(count).as(order).isEqualTo(1);
          }
        });
    assertThat(statusByOrder.values()).contains("ran");
  }

  private static String nextOrder() {
    lastOrderNumber++;
    return "order-" + lastOrderNumber;
  }

  private static Http.Response book(String entry, String order, String body)
      throws IOException, InterruptedException {
    Map<String, String> headers = ChatClient.headers(key, "cab-question");
    headers.put("Idempotency-Key", order);
    return Http.call(
        "POST", fleet.entryUrl(entry) + "/v1/services/bookings/bookings", headers, body);
  }

  private static void cutBothServices(String fault) throws IOException, InterruptedException {
    fleet.setUpstreamFaults("s1", "{\"" + fault + "\":1}");
    fleet.setUpstreamFaults("s2", "{\"" + fault + "\":1}");
  }

  private static void awaitStored(String entry, String order)
      throws IOException, InterruptedException {
    for (int i = 0; i < 100 && book(entry, order, "{}").status() != 201; i++) {
      Thread.sleep(100);
    }
    assertThat(book(entry, order, "{}").status()).isEqualTo(201);
  }

  private static int runCount(String order) throws IOException, InterruptedException {
    return runCountsByKey().getOrDefault(order, 0);
  }

  private static Map<String, Integer> runCountsByKey() throws IOException, InterruptedException {
    Map<String, Integer> runs = new HashMap<>();
    for (String vm : new String[] {"s1", "s2"}) {
      JsonNode journal =
          Http.call("GET", fleet.upstreamUrl(vm) + "/journal", Map.of(), null).json();
      journal.forEach(each -> runs.merge(each.path("idempotencyKey").asText(), 1, Integer::sum));
    }
    return runs;
  }
}
