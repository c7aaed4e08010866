package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/** Leaving or draining upstreams receive no new work, and graceful stops interrupt no request. */
final class StopTest {
  private Fleet fleet;
  private String key;

  @BeforeEach
  void startFleet() throws Exception {
    fleet =
        Fleet.start(
            FleetPlan.small().withSizes(2, 3, 1).withPlatformOptions("--lag-millis", "1000"));
    key = fleet.configure("e1", "dispatch").get("dispatch");
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void aVmListedAsLeavingGetsNoNewWorkAfterTheBound() throws Exception {
    fleet.listVm("m1", true);
    Thread.sleep(1000 + 3000);
    long tokensBefore = producedTokens("m1");
    for (int i = 0; i < 40; i++) {
      assertThat(ChatClient.complete(fleet, "e" + (i % 2 + 1), key, "n " + i + " [len=2]").status())
          .isEqualTo(200);
    }
    assertThat(producedTokens("m1")).isEqualTo(tokensBefore);
  }

  @Test
  void drainStopsNewWorkAndUndrainAllowsItAgain() throws Exception {
    fleet.callOperatorApi("e1", "POST", "/upstreams/m2/drain", "");
    awaitDraining("m2", true);
    long tokensBefore = producedTokens("m2");
    for (int i = 0; i < 20; i++) {
      ChatClient.complete(fleet, "e2", key, "d " + i + " [len=2]");
    }
    assertThat(producedTokens("m2")).isEqualTo(tokensBefore);
    fleet.callOperatorApi("e2", "POST", "/upstreams/m2/undrain", "");
    awaitDraining("m2", false);
  }

  @Test
  void aRollingReplacementOfEveryVmCutsNoRequest() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    Future<List<String>> load = ConcurrentCalls.runAsync(() -> sendLoadUntil(stop));
    Thread.sleep(500);
    for (String vm : new String[] {"m1", "m2", "m3", "s1", "e1", "e2"}) {
      fleet.process(vm).terminate();
      assertThat(fleet.process(vm).awaitExit(Duration.ofSeconds(40))).as("stop of " + vm).isTrue();
      assertThat(fleet.process(vm).output()).contains("stopped: 0 requests cut");
      fleet.restartDaemon(vm);
      fleet.awaitUpstreams("e1", 4);
      fleet.awaitUpstreams("e2", 4);
    }
    stop.set(true);
    assertThat(ConcurrentCalls.get(load)).isEmpty();
  }

  /** Sends streams with retries, as a load balancer would; returns those that did not complete. */
  private List<String> sendLoadUntil(AtomicBoolean stop) throws InterruptedException {
    List<List<String>> failures = ConcurrentCalls.runAll(12, i -> caller(i, stop));
    return failures.stream().flatMap(List::stream).toList();
  }

  private Callable<List<String>> caller(int number, AtomicBoolean stop) {
    return () -> {
      List<String> failures = new java.util.ArrayList<>();
      for (int i = 0; !stop.get(); i++) {
        String prompt = "caller " + number + " " + i + " [len=30]";
        String outcome = streamWithRetry(number + i, prompt);
        if (!outcome.equals(ChatClient.scriptedText(prompt, 30))) {
          failures.add(prompt + " -> " + outcome);
        }
      }
      return failures;
    };
  }

  /**
   * Retries at the other entry if the connection is refused, the entry has exited or the refusal
   * has status {@code not_run}.
   */
  private String streamWithRetry(int firstEntry, String prompt) throws InterruptedException {
    for (int attempt = 0; attempt < 40; attempt++) {
      String entry = "e" + ((firstEntry + attempt) % 2 + 1);
      try {
        ChatClient.Outcome outcome = ChatClient.stream(fleet, entry, key, prompt);
        if (outcome.status() == 200) {
          return outcome.done() ? outcome.text() : "cut: " + outcome;
        }
        if (!outcome.ran().equals("not_run")) {
          return outcome.toString();
        }
      } catch (IOException e) {
        if (!(e instanceof java.net.ConnectException) && fleet.process(entry).isAlive()) {
          return "io: " + e;
        }
      }
      Thread.sleep(100);
    }
    return "gave up";
  }

  private void awaitDraining(String vm, boolean draining) throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      boolean allMatch = true;
      for (String entry : new String[] {"e1", "e2"}) {
        for (var each :
            fleet.callOperatorApi(entry, "GET", "/status", null).json().path("upstreams")) {
          if (each.path("vm").asText().equals(vm)) {
            allMatch &= each.path("draining").asBoolean() == draining;
          }
        }
      }
      if (allMatch) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException(vm + " does not show draining=" + draining);
  }

  private long producedTokens(String vm) throws IOException, InterruptedException {
    return Http.call("GET", fleet.upstreamUrl(vm) + "/counts", Map.of(), null)
        .json()
        .path("tokens")
        .asLong();
  }
}
