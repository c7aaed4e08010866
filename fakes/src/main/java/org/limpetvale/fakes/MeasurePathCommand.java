package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.LoadGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the overhead of the path through entry and sidecar compared with direct engine calls.
 */
@Command(
    name = "measure-path",
    description =
        "Compares latency and throughput through entry and sidecar with direct engine calls.",
    mixinStandardHelpOptions = true)
final class MeasurePathCommand implements Callable<Integer> {
  private static final int ROUNDS = 2;
  private static final int CAPACITY = 400;

  @Option(names = "--seed", defaultValue = "1", description = "Random seed of the arrivals.")
  private long seed;

  @Option(
      names = "--millis",
      defaultValue = "10000",
      description = "Duration of each run, in milliseconds.")
  private long millis;

  @Override
  public Integer call() throws Exception {
    FleetPlan plan =
        FleetPlan.small()
            .withSizes(1, 1, 0)
            .withSidecarLimits(CAPACITY, CAPACITY)
            .withEngineOptions("--capacity", "500", "--tokens-per-second", "50")
            .withJvmOptions("-Xmx512m", "-XX:+UseSerialGC");
    try (Fleet fleet = Fleet.start(plan)) {
      String key = fleet.configure("e1", "dispatch").get("dispatch");
      LoadGenerator loadGenerator = new LoadGenerator(Fleet.findProjectRoot(), fleet.folder());
      List<LoadGenerator.Flow> requests = List.of(flow(key, 200, 2));
      List<LoadGenerator.Flow> streams = List.of(flow(key, 20, 200));
      List<String> direct = List.of(fleet.upstreamUrl("m1"));
      List<String> routed = List.of(fleet.entryUrl("e1"));
      loadGenerator.run(seed, millis, requests, routed);
      System.out.println(
          "| run | path | requests/s | first token p50 ms | p95 | p99 | gap p50 ms | gap p95 | tokens/s | processor ms a request, entry | sidecar |");
      System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
      for (int round = 1; round <= ROUNDS; round++) {
        measureRow("requests " + round, "direct", fleet, loadGenerator, requests, direct);
        measureRow("requests " + round, "routed", fleet, loadGenerator, requests, routed);
        measureRow("streams " + round, "direct", fleet, loadGenerator, streams, direct);
        measureRow("streams " + round, "routed", fleet, loadGenerator, streams, routed);
      }
    }
    return 0;
  }

  private static LoadGenerator.Flow flow(String key, double perSecond, int tokens) {
    return new LoadGenerator.Flow("dispatch", key, "cab-question", perSecond, tokens, 0, 1200, 60);
  }

  private void measureRow(
      String run,
      String path,
      Fleet fleet,
      LoadGenerator loadGenerator,
      List<LoadGenerator.Flow> flows,
      List<String> targets)
      throws Exception {
    long entryBefore = fleet.process("e1").cpuMillis();
    long sidecarBefore = fleet.process("m1").cpuMillis();
    long startNanos = System.nanoTime();
    JsonNode figures = loadGenerator.run(seed, millis, flows, targets).getFirst().path("figures");
    double seconds = Math.max(millis / 1000.0, (System.nanoTime() - startNanos) / 1e9);
    double completed = Math.max(1, figures.path("whole").asDouble());
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.2f | %.2f |%n",
        run,
        path,
        figures.path("whole").asDouble() / (millis / 1000.0),
        figures.path("firstTokenP50Millis").asDouble(),
        figures.path("firstTokenP95Millis").asDouble(),
        figures.path("firstTokenP99Millis").asDouble(),
        figures.path("gapP50Millis").asDouble(),
        figures.path("gapP95Millis").asDouble(),
        figures.path("deliveredTokens").asDouble() / seconds,
        (fleet.process("e1").cpuMillis() - entryBefore) / completed,
        (fleet.process("m1").cpuMillis() - sidecarBefore) / completed);
    Map<String, Object> incomplete = incompleteCounts(figures);
    if (!incomplete.isEmpty()) {
      System.out.println("not whole: " + incomplete);
    }
  }

  private static Map<String, Object> incompleteCounts(JsonNode figures) {
    return figures.path("failures").isEmpty() && figures.path("refusals").isEmpty()
        ? Map.of()
        : Map.of("failures", figures.path("failures"), "refusals", figures.path("refusals"));
  }
}
