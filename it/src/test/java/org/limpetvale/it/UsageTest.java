package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/**
 * No usage window is reported twice with different figures, and the reported sums equal what
 * callers received.
 */
final class UsageTest {
  private static final String[] WORKSPACES = {"north", "south"};
  private Fleet fleet;
  private Map<String, String> keys;
  private final Map<String, Long> receivedTokens = new HashMap<>();

  @BeforeEach
  void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small().withSizes(3, 2, 0));
    keys = fleet.configure("e1", WORKSPACES);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void reportsAddUpToReceivedTokensDespiteLostTableAndUsageResponses() throws Exception {
    fleet.setPlatformFaults("table", "{\"loseAnswers\":6,\"skipBeforeLoss\":5}");
    fleet.setPlatformFaults("usage", "{\"loseAnswers\":3}");
    send(60, "e1", "e2", "e3");
    awaitReported();
  }

  @Test
  void anEntryKilledAfterItsAnswersLosesNoUsage() throws Exception {
    send(40, "e1", "e2", "e3");
    fleet.process("e2").kill();
    send(20, "e1", "e3");
    awaitReportedOrCounted();
  }

  @Test
  void aSuspendedAndCutOffReporterIsReplacedByAnotherWithTheSameFigures() throws Exception {
    send(20, "e1", "e2", "e3");
    String reporter = awaitReporter();
    fleet.setPlatformFaults("usage", "{\"latencyMillis\":400}");
    fleet.process(reporter).pause();
    send(20, otherEntries(reporter));
    Thread.sleep(6000);
    fleet.process(reporter).resume();
    fleet.setPlatformFaults("table", "{\"cutClients\":[\"" + reporter + "\"]}");
    Thread.sleep(4000);
    fleet.setPlatformFaults("table", "{\"cutClients\":[]}");
    fleet.setPlatformFaults("usage", "{\"latencyMillis\":0}");
    send(20, otherEntries(reporter));
    awaitReported();
  }

  private static String[] otherEntries(String reporter) {
    return List.of("e1", "e2", "e3").stream()
        .filter(entry -> !entry.equals(reporter))
        .toArray(String[]::new);
  }

  private void send(int count, String... entries) throws InterruptedException {
    List<Map.Entry<String, Long>> tokensByCall =
        ConcurrentCalls.runAll(
            count,
            i ->
                () -> {
                  String workspace = WORKSPACES[i % 2];
                  Thread.sleep(i * 15L);
                  String prompt = "usage " + i + " [len=" + (3 + i % 7) + "]";
                  ChatClient.Outcome outcome =
                      ChatClient.stream(
                          fleet, entries[i % entries.length], keys.get(workspace), prompt);
                  assertThat(outcome.done()).isTrue();
                  return Map.entry(workspace, (long) outcome.tokens());
                });
    tokensByCall.forEach(each -> receivedTokens.merge(each.getKey(), each.getValue(), Long::sum));
  }

  private String awaitReporter() throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      for (String entry : new String[] {"e1", "e2", "e3"}) {
        String leases =
            fleet.callOperatorApi(entry, "GET", "/status", null).json().path("leases").toString();
        if (leases.contains("\"usage\"")) {
          return entry;
        }
      }
      Thread.sleep(50);
    }
    throw new IOException("no entry holds the lease of the usage reports");
  }

  /**
   * Waits until the reported tokens equal those received, then checks that they stay equal; no
   * window may have two different reports.
   */
  private void awaitReported() throws IOException, InterruptedException {
    Map<String, Long> reported = Map.of();
    for (int i = 0; i < 400 && !reported.equals(receivedTokens); i++) {
      reported = reportedTokens();
      Thread.sleep(100);
    }
    assertThat(reported).isEqualTo(receivedTokens);
    Thread.sleep(3000);
    assertThat(reportedTokens()).isEqualTo(receivedTokens);
  }

  /**
   * Waits until reported and unproved tokens add up to those received; the unproved ones must stay
   * below a tenth.
   */
  private void awaitReportedOrCounted() throws IOException, InterruptedException {
    long total = receivedTokens.values().stream().mapToLong(Long::longValue).sum();
    long accounted = 0;
    for (int i = 0; i < 400 && accounted != total; i++) {
      accounted = reportedTokens().values().stream().mapToLong(Long::longValue).sum();
      accounted += unprovedTokens("m1") + unprovedTokens("m2");
      Thread.sleep(100);
    }
    assertThat(accounted).isEqualTo(total);
    assertThat(unprovedTokens("m1") + unprovedTokens("m2")).isLessThan(total / 10);
  }

  private long unprovedTokens(String vm) throws IOException, InterruptedException {
    return fleet
        .metrics(vm)
        .lines()
        .filter(line -> line.startsWith("limpetvale_usage_unproved_tokens_total"))
        .mapToLong(line -> (long) Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
        .sum();
  }

  private Map<String, Long> reportedTokens() throws IOException, InterruptedException {
    JsonNode journal = Http.call("GET", fleet.platformUrl() + "/v1/usage", Map.of(), null).json();
    Map<String, JsonNode> byWindow = new HashMap<>();
    Map<String, Long> sums = new HashMap<>();
    for (JsonNode report : journal) {
      String workspace = report.path("workspace").asText();
      JsonNode first =
          byWindow.putIfAbsent(workspace + "/" + report.path("window"), report.path("figures"));
      if (first == null) {
        sums.merge(workspace, report.path("figures").path("completionTokens").asLong(), Long::sum);
      } else {
        assertThat(report.path("figures")).as("second report of a window").isEqualTo(first);
      }
    }
    return sums;
  }
}
