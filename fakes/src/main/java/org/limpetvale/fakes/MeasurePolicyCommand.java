package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;
import org.limpetvale.fakes.fleet.LoadGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the routing policy with two baselines under load and injected faults. */
@Command(
    name = "measure-policy",
    description = "Compares attainment, goodput, waste and fairness with two baselines.",
    mixinStandardHelpOptions = true)
final class MeasurePolicyCommand implements Callable<Integer> {
  private static final String[] CLASSES = {
    "cab-question", "round-plan", "summary", "contract-review"
  };
  private static final double[] REQUESTS_PER_SECOND = {12, 4, 2, 1};
  private static final int[] MEDIAN_TOKENS = {30, 80, 120, 200};
  private static final double TAIL_SIGMA = 0.6;
  private static final long[] FIRST_TOKEN_TARGETS_MILLIS = {1200, 2500, 6000, 15_000};
  private static final long[] TOKEN_GAP_TARGETS_MILLIS = {45, 60, 100, 150};
  private static final String[] WORKSPACES = {"large", "middle", "small"};
  private static final double[] WORKSPACE_SHARES = {0.6, 0.3, 0.1};
  private static final long CRASH_PERIOD_MILLIS = 10_000;

  @Option(names = "--seed", defaultValue = "1", description = "Random seed of the arrivals.")
  private long seed;

  @Option(
      names = "--millis",
      defaultValue = "20000",
      description = "Duration of each run, in milliseconds.")
  private long millis;

  @Option(names = "--engines", defaultValue = "8", description = "Number of model engines.")
  private int engines;

  @Option(
      names = "--scenarios",
      split = ",",
      defaultValue = "quiet,burst1.5,burst3,straggler,crashes",
      description = "Scenarios to run.")
  private List<String> scenarios;

  private enum Policy {
    PREDICTED,
    ROUND_ROBIN,
    LEAST_OUTSTANDING
  }

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| scenario | policy | attainment "
            + String.join(" / ", CLASSES)
            + " | goodput tokens/s | wasted | worst workspace / median | not whole |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (Policy policy : Policy.values()) {
      try (Fleet fleet = Fleet.start(plan(policy))) {
        Map<String, String> keys = fleet.configure("e1", WORKSPACES);
        LoadGenerator loadGenerator = new LoadGenerator(Fleet.findProjectRoot(), fleet.folder());
        loadGenerator.run(seed, millis / 4, flows(keys, 1), targets(fleet));
        for (String scenario : scenarios) {
          runScenario(policy, scenario, fleet, keys, loadGenerator);
        }
      }
    }
    return 0;
  }

  private FleetPlan plan(Policy policy) {
    return FleetPlan.small()
        .withSizes(2, engines, 0)
        .withSidecarLimits(8, 24)
        .withEngineOptions("--capacity", "8", "--tokens-per-second", "50")
        .withJvmOptions("-Xmx256m", "-XX:+UseSerialGC")
        .withRouting(
            Map.of(
                "policy",
                policy.name(),
                "tiers",
                policy == Policy.PREDICTED,
                "sidecarsPerPool",
                24,
                "mostOffers",
                4));
  }

  private void runScenario(
      Policy policy,
      String scenario,
      Fleet fleet,
      Map<String, String> keys,
      LoadGenerator loadGenerator)
      throws Exception {
    double factor =
        switch (scenario) {
          case "burst1.5" -> 1.5;
          case "burst3" -> 3;
          default -> 1;
        };
    boolean straggler = scenario.equals("straggler");
    fleet.setUpstreamFaults("m1", "{\"slowFactor\":" + (straggler ? 5 : 1) + "}");
    Thread crashThread = scenario.equals("crashes") ? startCrashes(fleet) : null;
    List<JsonNode> rows = loadGenerator.run(seed, millis, flows(keys, factor), targets(fleet));
    if (crashThread != null) {
      crashThread.interrupt();
      crashThread.join();
    }
    fleet.setUpstreamFaults("m1", "{\"slowFactor\":1}");
    printRow(policy, scenario, rows);
    Thread.sleep(2000);
  }

  private static Thread startCrashes(Fleet fleet) {
    return Thread.ofVirtual()
        .start(
            () -> {
              try {
                for (int i = 0; ; i++) {
                  Thread.sleep(CRASH_PERIOD_MILLIS / 2);
                  fleet.setUpstreamFaults("m" + (2 + i % 3), "{\"crash\":true}");
                  Thread.sleep(CRASH_PERIOD_MILLIS / 2);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (java.io.IOException e) {
                System.err.println("cannot crash an engine: " + e);
              }
            });
  }

  private static List<String> targets(Fleet fleet) {
    return List.of(fleet.entryUrl("e1"), fleet.entryUrl("e2"));
  }

  private static List<LoadGenerator.Flow> flows(Map<String, String> keys, double factor) {
    List<LoadGenerator.Flow> flows = new ArrayList<>();
    for (int c = 0; c < CLASSES.length; c++) {
      for (int w = 0; w < WORKSPACES.length; w++) {
        flows.add(
            new LoadGenerator.Flow(
                WORKSPACES[w],
                keys.get(WORKSPACES[w]),
                CLASSES[c],
                REQUESTS_PER_SECOND[c] * WORKSPACE_SHARES[w] * factor,
                MEDIAN_TOKENS[c],
                TAIL_SIGMA,
                FIRST_TOKEN_TARGETS_MILLIS[c],
                TOKEN_GAP_TARGETS_MILLIS[c]));
      }
    }
    return flows;
  }

  private void printRow(Policy policy, String scenario, List<JsonNode> rows) {
    Map<String, double[]> byClass = new TreeMap<>();
    Map<String, double[]> byWorkspace = new TreeMap<>();
    Map<String, Integer> incomplete = new TreeMap<>();
    double attainedTokens = 0;
    double deliveredTokens = 0;
    double wastedTokens = 0;
    for (JsonNode row : rows) {
      JsonNode figures = row.path("figures");
      add(byClass, row.path("requestClass").asText(), figures);
      add(byWorkspace, row.path("workspace").asText(), figures);
      attainedTokens += figures.path("attainedTokens").asDouble();
      deliveredTokens += figures.path("deliveredTokens").asDouble();
      wastedTokens += figures.path("wastedTokens").asDouble();
      for (String kind : new String[] {"refusals", "failures"}) {
        figures
            .path(kind)
            .properties()
            .forEach(
                each -> incomplete.merge(each.getKey(), each.getValue().asInt(), Integer::sum));
      }
    }
    String attainment =
        Arrays.stream(CLASSES)
            .map(name -> attainedShare(byClass.get(name)))
            .map(share -> String.format(Locale.ROOT, "%.1f%%", share * 100))
            .reduce((a, b) -> a + " / " + b)
            .orElse("");
    double[] shares =
        byWorkspace.values().stream()
            .mapToDouble(MeasurePolicyCommand::attainedShare)
            .sorted()
            .toArray();
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %s | %.0f | %.2f%% | %.3f | %s |%n",
        scenario,
        policy.name().toLowerCase(Locale.ROOT),
        attainment,
        attainedTokens / (millis / 1000.0),
        100 * wastedTokens / Math.max(1, deliveredTokens + wastedTokens),
        shares[shares.length / 2] == 0 ? 0 : shares[0] / shares[shares.length / 2],
        Http.MAPPER.valueToTree(incomplete));
  }

  private static void add(Map<String, double[]> sums, String name, JsonNode figures) {
    double[] sum = sums.computeIfAbsent(name, key -> new double[2]);
    sum[0] += figures.path("attained").asDouble();
    sum[1] += figures.path("sent").asDouble();
  }

  private static double attainedShare(double[] sum) {
    return sum[1] == 0 ? 1 : sum[0] / sum[1];
  }
}
