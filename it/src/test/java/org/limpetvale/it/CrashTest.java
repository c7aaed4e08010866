package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;
import org.limpetvale.platform.standin.FaultProxy;

/**
 * After engine crashes, cut or unresponsive connections and killed sidecars, every caller receives
 * its complete answer or an error.
 */
final class CrashTest {
  private static final Map<String, FaultProxy> PROXIES = new HashMap<>();
  private static Fleet fleet;
  private static String key;

  @BeforeAll
  static void startFleet() throws Exception {
    FleetPlan plan =
        FleetPlan.small()
            .withSizes(2, 3, 0)
            .withAdvertisedPorts(
                (vm, port) -> PROXIES.computeIfAbsent(vm, name -> FaultProxy.to(port)).port());
    fleet = Fleet.start(plan);
    key = fleet.configure("e1", "dispatch").get("dispatch");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
    PROXIES.values().forEach(FaultProxy::close);
  }

  @BeforeEach
  void awaitUpstreams() throws Exception {
    awaitEnginesAndCountCrashes();
    fleet.awaitUpstreams("e1", 3);
    fleet.awaitUpstreams("e2", 3);
  }

  @Test
  void aStreamContinuesAfterAnEngineCrashAndDeliversEachTokenOnce() throws Exception {
    String prompt = "continue me [len=120]";
    Future<ChatClient.Outcome> stream =
        ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, "e1", key, prompt));
    Thread.sleep(800);
    crashBusyEngines();
    ChatClient.Outcome outcome = ConcurrentCalls.get(stream);
    assertThat(outcome.text()).isEqualTo(ChatClient.scriptedText(prompt, 120));
    assertThat(outcome.done()).isTrue();
    assertThat(outcome.usageTokens()).isEqualTo(120);
  }

  @Test
  void aRequestThatCrashesUpstreamsCrashesAtMostTwoAndOtherRequestsSucceed() throws Exception {
    int crashesBefore = awaitEnginesAndCountCrashes();
    List<Future<ChatClient.Outcome>> bystanders = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      String prompt = "bystander " + i + " [len=60]";
      String entry = "e" + (i % 2 + 1);
      bystanders.add(ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, entry, key, prompt)));
    }
    Thread.sleep(400);
    String crashingPrompt = "poison [crash] [len=50]";
    List<String> codes = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      codes.add(ChatClient.stream(fleet, "e" + (i % 2 + 1), key, crashingPrompt).code());
    }
    for (int i = 0; i < bystanders.size(); i++) {
      ChatClient.Outcome outcome = ConcurrentCalls.get(bystanders.get(i));
      assertThat(outcome.text())
          .isEqualTo(ChatClient.scriptedText("bystander " + i + " [len=60]", 60));
    }
    assertThat(awaitEnginesAndCountCrashes() - crashesBefore).isLessThanOrEqualTo(2);
    assertThat(codes.getLast()).isEqualTo("LV-4006");
  }

  @Test
  void anUnresponsiveSidecarConnectionIsReplacedAndTheStreamContinues() throws Exception {
    String prompt = "silent [len=200]";
    long[] lastTokenMillis = {System.currentTimeMillis()};
    long[] longestGapMillis = {0};
    Future<ChatClient.Outcome> stream =
        ConcurrentCalls.runAsync(
            () ->
                ChatClient.stream(
                    fleet,
                    "e1",
                    key,
                    "cab-question",
                    prompt,
                    token -> {
                      long now = System.currentTimeMillis();
                      longestGapMillis[0] = Math.max(longestGapMillis[0], now - lastTokenMillis[0]);
                      lastTokenMillis[0] = now;
                    }));
    Thread.sleep(900);
    PROXIES.values().forEach(FaultProxy::discardOpen);
    ChatClient.Outcome outcome = ConcurrentCalls.get(stream);
    assertThat(outcome.text()).isEqualTo(ChatClient.scriptedText(prompt, 200));
    assertThat(outcome.done()).isTrue();
    assertThat(longestGapMillis[0]).isLessThan(3500);
  }

  @Test
  void aCutConnectionIsReplacedAndTheStreamContinues() throws Exception {
    String prompt = "cut [len=150]";
    Future<ChatClient.Outcome> stream =
        ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, "e1", key, prompt));
    for (int i = 0; i < 3; i++) {
      Thread.sleep(600);
      PROXIES.values().forEach(FaultProxy::closeOpen);
    }
    assertThat(ConcurrentCalls.get(stream).text()).isEqualTo(ChatClient.scriptedText(prompt, 150));
  }

  @Test
  void anUnresponsiveEngineConnectionIsReplacedByTheSidecar() throws Exception {
    for (String vm : new String[] {"m1", "m2", "m3"}) {
      fleet.setUpstreamFaults(vm, "{\"silences\":1}");
    }
    String prompt = "engine silent [len=20]";
    ChatClient.Outcome outcome = ChatClient.stream(fleet, "e1", key, prompt);
    assertThat(outcome.text()).isEqualTo(ChatClient.scriptedText(prompt, 20));
    for (String vm : new String[] {"m1", "m2", "m3"}) {
      fleet.setUpstreamFaults(vm, "{\"silences\":0}");
    }
  }

  @Test
  void noAnswerIsLostWhenSidecarsAreKilledOrSuspended() throws Exception {
    List<Future<ChatClient.Outcome>> streams = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      String prompt = "frozen " + i + " [len=150]";
      streams.add(ConcurrentCalls.runAsync(() -> ChatClient.stream(fleet, "e1", key, prompt)));
    }
    Thread.sleep(700);
    fleet.process("m1").pause();
    Thread.sleep(700);
    fleet.process("m2").kill();
    for (int i = 0; i < streams.size(); i++) {
      assertThat(ConcurrentCalls.get(streams.get(i)).text())
          .isEqualTo(ChatClient.scriptedText("frozen " + i + " [len=150]", 150));
    }
    fleet.process("m1").resume();
    fleet.restartDaemon("m2");
  }

  private static void crashBusyEngines() throws IOException, InterruptedException {
    for (String vm : new String[] {"m1", "m2", "m3"}) {
      String load = Http.call("GET", fleet.upstreamUrl(vm) + "/load", Map.of(), null).body();
      if (!load.contains("\"running\":0")) {
        fleet.setUpstreamFaults(vm, "{\"crash\":true}");
      }
    }
  }

  /** Waits until each engine responds; returns the total number of crashes. */
  private static int awaitEnginesAndCountCrashes() throws IOException, InterruptedException {
    int total = 0;
    for (String vm : new String[] {"m1", "m2", "m3"}) {
      for (int i = 0; i < 50; i++) {
        try {
          total +=
              Http.call("GET", fleet.upstreamUrl(vm) + "/counts", Map.of(), null)
                  .json()
                  .path("crashes")
                  .asInt();
          break;
        } catch (IOException e) {
          Thread.sleep(100);
        }
      }
    }
    return total;
  }
}
