package org.limpetvale.fakes.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Runs {@code limpetvale load} as a process of its own. */
public final class LoadGenerator {
  private final Path root;
  private final Path folder;

  /** Creates a tool for the program below a root, with its files in a folder. */
  public LoadGenerator(Path root, Path folder) {
    this.root = Objects.requireNonNull(root, "root is null");
    this.folder = Objects.requireNonNull(folder, "folder is null");
  }

  /**
   * Requests of one class from one workspace.
   *
   * @param workspace the workspace
   * @param key its key
   * @param requestClass request class
   * @param perSecond mean arrivals a second
   * @param medianTokens median length of an answer
   * @param tailSigma spread of the length's logarithm
   * @param firstTokenTargetMillis target for the first token, in milliseconds
   * @param tokenGapTargetMillis target for the gap between tokens, in milliseconds
   */
  public record Flow(
      String workspace,
      String key,
      String requestClass,
      double perSecond,
      int medianTokens,
      double tailSigma,
      long firstTokenTargetMillis,
      long tokenGapTargetMillis) {}

  /** Runs load and returns one JSON row for each flow. */
  public List<JsonNode> run(long seed, long durationMillis, List<Flow> flows, List<String> targets)
      throws IOException, InterruptedException {
    Path scenario = folder.resolve("scenario.json");
    Files.writeString(scenario, scenario(seed, durationMillis, flows));
    List<String> line = new ArrayList<>();
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    Path target = root.resolve("cli").resolve("target");
    line.addAll(
        List.of(
            "-Xmx512m",
            "-XX:+UseSerialGC",
            "-cp",
            target.resolve("classes") + ":" + target.resolve("lib") + "/*",
            "org.limpetvale.cli.Main",
            "load",
            "--json",
            "--target",
            String.join(",", targets),
            scenario.toString()));
    Process process =
        new ProcessBuilder(line).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException("load failed: " + output);
    }
    List<JsonNode> rows = new ArrayList<>();
    for (String row : output.lines().toList()) {
      rows.add(Http.MAPPER.readTree(row));
    }
    return rows;
  }

  private String scenario(long seed, long durationMillis, List<Flow> flows) throws IOException {
    List<Map<String, Object>> all = new ArrayList<>();
    for (int i = 0; i < flows.size(); i++) {
      Flow flow = flows.get(i);
      Path keyFile = folder.resolve("key-" + i);
      Files.writeString(keyFile, flow.key());
      all.add(
          Map.ofEntries(
              Map.entry("workspace", flow.workspace()),
              Map.entry("keyFile", keyFile.toString()),
              Map.entry("requestClass", flow.requestClass()),
              Map.entry("perSecond", flow.perSecond()),
              Map.entry("burstFactor", 1),
              Map.entry("burstFromMillis", 0),
              Map.entry("burstToMillis", 0),
              Map.entry("medianTokens", flow.medianTokens()),
              Map.entry("tailSigma", flow.tailSigma()),
              Map.entry("promptChars", 200),
              Map.entry("firstTokenTargetMillis", flow.firstTokenTargetMillis()),
              Map.entry("tokenGapTargetMillis", flow.tokenGapTargetMillis()),
              Map.entry("resend", false)));
    }
    return Http.MAPPER.writeValueAsString(
        Map.of("seed", seed, "durationMillis", durationMillis, "model", Fleet.MODEL, "flows", all));
  }
}
