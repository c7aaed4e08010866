package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
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
import org.limpetvale.fakes.fleet.SampleConfig;
import org.limpetvale.platform.standin.FaultProxy;

/** An accepted configuration change is active at every entry within seconds and never reverts. */
final class ConfigurationTest {
  private static final long PROPAGATION_BOUND_MILLIS = 5000;
  private static final Map<String, FaultProxy> PROXIES = new HashMap<>();
  private static Fleet fleet;

  @BeforeAll
  static void startFleet() throws Exception {
    FleetPlan plan =
        FleetPlan.small()
            .withSizes(3, 1, 0)
            .withAdvertisedPorts(
                (vm, port) ->
                    vm.startsWith("e")
                        ? PROXIES.computeIfAbsent(vm, name -> FaultProxy.to(port)).port()
                        : port);
    fleet = Fleet.start(plan);
    fleet.configure("e1", "dispatch");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
    PROXIES.values().forEach(FaultProxy::close);
  }

  @AfterEach
  void clearFaults() throws Exception {
    fleet.setPlatformFaults("table", "{\"down\":false,\"cutClients\":[],\"loseAnswers\":0}");
    PROXIES.values().forEach(proxy -> proxy.discardAll(false));
    PROXIES.values().forEach(FaultProxy::closeOpen);
    awaitServing("e1", true);
    awaitServing("e2", true);
    awaitServing("e3", true);
    fleet.awaitSameVersion();
  }

  @Test
  void concurrentChangesThroughDifferentEntriesGetOneVersionEach() throws Exception {
    List<Http.Response> answers =
        ConcurrentCalls.runAll(
            30,
            i ->
                () ->
                    fleet.callOperatorApi(
                        "e" + (i % 3 + 1), "POST", "/changes", change("race-" + i, 1 + i % 3)));
    List<Long> versions = new ArrayList<>();
    for (Http.Response answer : answers) {
      if (answer.status() == 200) {
        versions.add(answer.json().path("version").asLong());
      } else {
        assertThat(answer.json().path("ran").asText()).isEqualTo("not_run");
      }
    }
    assertThat(versions).doesNotHaveDuplicates().isNotEmpty();
    JsonNode history = fleet.callOperatorApi("e2", "GET", "/changes?after=0", null).json();
    for (int i = 0; i < history.size(); i++) {
      assertThat(history.get(i).path("version").asLong()).isEqualTo(i + 1L);
    }
    assertThat(history.size()).isGreaterThanOrEqualTo(versions.size());
  }

  @Test
  void aChangeWhoseTableResponseIsLostIsAcceptedOnce() throws Exception {
    long versionBefore = version("e1");
    fleet.setPlatformFaults("table", "{\"loseAnswers\":1}");
    Http.Response answer = fleet.callOperatorApi("e1", "POST", "/changes", change("lost", 2));
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.json().path("version").asLong()).isEqualTo(versionBefore + 1);
    assertThat(version("e1")).isEqualTo(versionBefore + 1);
  }

  @Test
  void aWithdrawnKeyEndsAnOpenStreamAtAnotherEntryWithinTheBound() throws Exception {
    String key = grant("withdraw-open");
    long[] withdrawnMillis = new long[1];
    Future<ChatClient.Outcome> stream =
        ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, "e2", key, "long one [len=1500]"));
    Thread.sleep(700);
    withdrawnMillis[0] = System.currentTimeMillis();
    fleet.callOperatorApi("e1", "DELETE", "/keys/withdraw-open", null);
    ChatClient.Outcome outcome = ConcurrentCalls.get(stream);
    assertThat(System.currentTimeMillis() - withdrawnMillis[0])
        .isLessThan(PROPAGATION_BOUND_MILLIS);
    assertThat(outcome.done()).isFalse();
    assertThat(outcome.code()).isEqualTo("LV-1003");
    assertThat(ChatClient.complete(fleet, "e2", key, "again").code()).isEqualTo("LV-1002");
  }

  @Test
  void anEntryCutOffFromTheTableLearnsFromItsPeersWithinTheBound() throws Exception {
    String key = grant("cut-from-table");
    fleet.setPlatformFaults("table", "{\"cutClients\":[\"e3\"]}");
    fleet.callOperatorApi("e1", "DELETE", "/keys/cut-from-table", null);
    assertThat(millisUntilRefused("e3", key)).isLessThan(PROPAGATION_BOUND_MILLIS);
    assertThat(ChatClient.complete(fleet, "e3", key, "x").code()).isEqualTo("LV-1002");
  }

  @Test
  void anEntryCutOffFromItsPeersLearnsFromTheTableWithinTheBound() throws Exception {
    String key = grant("cut-from-peers");
    PROXIES.values().forEach(proxy -> proxy.discardAll(true));
    fleet.callOperatorApi("e1", "DELETE", "/keys/cut-from-peers", null);
    assertThat(millisUntilRefused("e3", key)).isLessThan(PROPAGATION_BOUND_MILLIS);
  }

  @Test
  void anEntryCutOffFromBothStopsServingKeysWithinTheBoundAndEndsOpenStreams() throws Exception {
    String key = grant("cut-from-both");
    Future<ChatClient.Outcome> stream =
        ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, "e3", key, "long one [len=1900]"));
    Thread.sleep(500);
    PROXIES.values().forEach(proxy -> proxy.discardAll(true));
    fleet.setPlatformFaults("table", "{\"cutClients\":[\"e3\"]}");
    long startMillis = System.currentTimeMillis();
    fleet.callOperatorApi("e1", "DELETE", "/keys/cut-from-both", null);
    assertThat(millisUntilRefused("e3", key)).isLessThan(PROPAGATION_BOUND_MILLIS);
    Http.Response refused = ChatClient.complete(fleet, "e3", key, "x");
    assertThat(refused.code()).isEqualTo("LV-3006");
    assertThat(refused.json().path("ran").asText()).isEqualTo("not_run");
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    ChatClient.Outcome outcome = ConcurrentCalls.get(stream);
    assertThat(outcome.done()).isFalse();
    assertThat(System.currentTimeMillis() - startMillis)
        .isLessThan(PROPAGATION_BOUND_MILLIS + 1000);
  }

  @Test
  void duringATableOutageKeysKeepWorkingAndChangesAreRefusedAsNotRun() throws Exception {
    String key = grant("outage");
    fleet.setPlatformFaults("table", "{\"down\":true}");
    long deadlineMillis = System.currentTimeMillis() + 8000;
    while (System.currentTimeMillis() < deadlineMillis) {
      for (String entry : new String[] {"e1", "e2", "e3"}) {
        assertThat(ChatClient.complete(fleet, entry, key, "on [len=2]").status()).isEqualTo(200);
      }
      Thread.sleep(200);
    }
    Http.Response refused = fleet.callOperatorApi("e1", "POST", "/changes", change("outage", 2));
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.json().path("ran").asText()).isEqualTo("not_run");
  }

  @Test
  void anEntryStartedDuringATableOutageLoadsTheConfigurationFromAPeer() throws Exception {
    String key = grant("restart");
    long versionBefore = version("e1");
    fleet.setPlatformFaults("table", "{\"down\":true}");
    fleet.process("e2").kill();
    fleet.restartDaemon("e2");
    awaitServing("e2", true);
    assertThat(version("e2")).isEqualTo(versionBefore);
    assertThat(ChatClient.complete(fleet, "e2", key, "x [len=2]").status()).isEqualTo(200);
  }

  @Test
  void reportedVersionsOnlyIncreaseAcrossRestartsOfAllEntries() throws Exception {
    long versionBefore = version("e1");
    for (String entry : new String[] {"e1", "e2", "e3"}) {
      fleet.callOperatorApi(entry, "POST", "/changes", change("rolling-" + entry, 2));
      fleet.process(entry).kill();
      fleet.restartDaemon(entry);
      awaitServing(entry, true);
      assertThat(version(entry)).isGreaterThan(versionBefore);
      versionBefore = version(entry);
    }
  }

  private static String change(String workspace, int weight) {
    String parameters =
        SampleConfig.parameters(workspace).replace("\"weight\":1", "\"weight\":" + weight);
    return "{\"type\":\"put-parameters\",\"parameters\":" + parameters + "}";
  }

  private static String grant(String keyId) throws IOException, InterruptedException {
    Http.Response granted =
        fleet.callOperatorApi(
            "e1", "POST", "/keys", "{\"keyId\":\"" + keyId + "\",\"workspace\":\"dispatch\"}");
    assertThat(granted.status()).isEqualTo(200);
    fleet.awaitSameVersion();
    return granted.json().path("key").asText();
  }

  private static long version(String entry) throws IOException, InterruptedException {
    return fleet
        .callOperatorApi(entry, "GET", "/status", null)
        .json()
        .path("configVersion")
        .asLong();
  }

  private static long millisUntilRefused(String entry, String key)
      throws IOException, InterruptedException {
    long startMillis = System.currentTimeMillis();
    while (System.currentTimeMillis() - startMillis < 3 * PROPAGATION_BOUND_MILLIS) {
      if (ChatClient.complete(fleet, entry, key, "probe [len=1]").status() != 200) {
        break;
      }
      Thread.sleep(50);
    }
    return System.currentTimeMillis() - startMillis;
  }

  private static void awaitServing(String entry, boolean serving)
      throws IOException, InterruptedException {
    for (int i = 0; i < 400; i++) {
      try {
        Http.Response status = fleet.callOperatorApi(entry, "GET", "/status", null);
        boolean upstream = status.json().path("upstreams").path(0).path("available").asBoolean();
        if (status.json().path("servesKeyedRoutes").asBoolean() == serving && upstream) {
          return;
        }
      } catch (IOException e) {
        // The entry is not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IOException(entry + " does not report the expected serving state");
  }
}
