package org.limpetvale.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends load and prints the results as measured by the clients. */
@Command(
    name = "load",
    description = "Runs an open-loop load scenario and prints client-side results.",
    mixinStandardHelpOptions = true,
    footer = "Example: limpetvale load --target http://127.0.0.1:8080 docs/examples/load.json")
final class LoadCommand implements Callable<Integer> {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  @Parameters(paramLabel = "SCENARIO", description = "Scenario file, in JSON.")
  private Path scenarioFile;

  @Option(
      names = "--target",
      required = true,
      split = ",",
      description = "Entries to send requests to, in round-robin order.")
  private List<String> targets;

  @Option(names = "--json", description = "Print the results as JSON.")
  private boolean json;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LoadScenario scenario = MAPPER.readValue(scenarioFile.toFile(), LoadScenario.class);
    Map<LoadScenario.Flow, String> keys = new HashMap<>();
    for (LoadScenario.Flow flow : scenario.flows()) {
      keys.put(flow, Files.readString(Path.of(flow.keyFile())).trim());
    }
    Map<LoadScenario.Flow, LoadResult> results = new LoadGenerator(scenario, keys, targets).run();
    for (LoadScenario.Flow flow : scenario.flows()) {
      LoadResult.Figures figures = results.get(flow).figures();
      System.out.println(
          json ? MAPPER.writeValueAsString(row(flow, figures)) : line(flow, figures));
    }
    return ExitCodes.OK;
  }

  private record Row(String workspace, String requestClass, LoadResult.Figures figures) {}

  private static Row row(LoadScenario.Flow flow, LoadResult.Figures figures) {
    return new Row(flow.workspace(), flow.requestClass(), figures);
  }

  private static String line(LoadScenario.Flow flow, LoadResult.Figures figures) {
    return String.format(
        Locale.ROOT,
        "%-16s %-16s sent %5d whole %5d attained %5.1f%% first p50/p95/p99 %.0f/%.0f/%.0f ms"
            + " gap p50/p95 %.1f/%.1f ms refusals %s failures %s",
        flow.workspace(),
        flow.requestClass(),
        figures.sent(),
        figures.whole(),
        figures.attainment() * 100,
        figures.firstTokenP50Millis(),
        figures.firstTokenP95Millis(),
        figures.firstTokenP99Millis(),
        figures.gapP50Millis(),
        figures.gapP95Millis(),
        figures.refusals(),
        figures.failures());
  }
}
