package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;

/** Tiers, floor shares and fairness between workspaces during bursts beyond capacity. */
final class TiersTest {
  private static final String[] CLASSES = {
    "cab-question", "round-plan", "summary", "contract-review"
  };
  private static Fleet fleet;
  private static Map<String, String> keys;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small().withSizes(2, 2, 0).withSidecarLimits(4, 16));
    keys = fleet.configure("e1", "large", "small");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  private record Sent(String requestClass, String workspace, ChatClient.Outcome outcome) {}

  @Test
  void inABurstOfLowerTiersNoTopTierRequestIsShedAndEveryClassIsServed() throws Exception {
    List<Sent> sent =
        ConcurrentCalls.runAll(
            160,
            i ->
                () -> {
                  Thread.sleep(i * 25L);
                  // One request in eight is of the top tier; the capacity suffices for these alone.
                  String requestClass = i % 8 == 0 ? CLASSES[0] : CLASSES[1 + i % 3];
                  return send(requestClass, "large", i, 30);
                });
    Map<String, Integer> completed = new HashMap<>();
    Map<String, List<String>> refused = new HashMap<>();
    for (Sent each : sent) {
      if (each.outcome().done()) {
        completed.merge(each.requestClass(), 1, Integer::sum);
      } else {
        refused
            .computeIfAbsent(each.requestClass(), name -> new ArrayList<>())
            .add(each.outcome().code());
        assertThat(each.outcome().ran()).isEqualTo("not_run");
      }
    }
    assertThat(refused).doesNotContainKey(CLASSES[0]);
    assertThat(completed).containsKeys(CLASSES);
    assertThat(refused).isNotEmpty();
  }

  @Test
  void anOverloadingWorkspaceDoesNotStarveASmallOneOfTheSameTier() throws Exception {
    List<Sent> sent =
        ConcurrentCalls.runAll(
            150,
            i ->
                () -> {
                  Thread.sleep(i * 15L);
                  String workspace = i % 10 == 9 ? "small" : "large";
                  return send("round-plan", workspace, i, 25);
                });
    long smallSent = sent.stream().filter(each -> each.workspace().equals("small")).count();
    long smallCompleted =
        sent.stream()
            .filter(each -> each.workspace().equals("small") && each.outcome().done())
            .count();
    assertThat(sent).anyMatch(each -> !each.outcome().done());
    assertThat(smallCompleted).isEqualTo(smallSent);
  }

  @Test
  void refusalsArriveShortlyAfterTheMaximumWaitAtTheLatest() throws Exception {
    List<Long> millis =
        ConcurrentCalls.runAll(
            120,
            i ->
                () -> {
                  long startMillis = System.currentTimeMillis();
                  ChatClient.Outcome outcome =
                      send("cab-question", "large", 1000 + i, 60).outcome();
                  return outcome.done() ? 0 : System.currentTimeMillis() - startMillis;
                });
    assertThat(millis.stream().filter(each -> each > 0)).isNotEmpty();
    assertThat(millis).allMatch(each -> each < 4500);
  }

  private static Sent send(String requestClass, String workspace, int number, int tokens)
      throws Exception {
    String prompt = workspace + " " + number + " [len=" + tokens + "]";
    ChatClient.Outcome outcome =
        ChatClient.stream(
            fleet, "e" + (number % 2 + 1), keys.get(workspace), requestClass, prompt, token -> {});
    if (outcome.done()) {
      assertThat(outcome.text()).isEqualTo(ChatClient.scriptedText(prompt, tokens));
    }
    return new Sent(requestClass, workspace, outcome);
  }
}
