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

/** Runs {@code limpetvale load} in a separate process. */
public final class LoadGenerator {
  private final Path root;
  private final Path folder;

  /** Creates a generator that uses the build below a root and writes its files to a folder. */
  public LoadGenerator(Path root, Path folder) {
    this.root = Objects.requireNonNull(root, "root is null");
    this.folder = Objects.requireNonNull(folder, "folder is null");
  }

  /**
   * Load of one request class from one workspace.
   *
   * @param workspace the workspace
   * @param key key of the workspace
   * @param requestClass request class
   * @param perSecond mean arrival rate in requests per second
   * @param medianTokens median answer length, in tokens
   * @param tailSigma standard deviation of the logarithm of the answer length
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

  /** Runs the load and returns one JSON result per flow. */
  public List<JsonNode> run(long seed, long durationMillis, List<Flow> flows, List<String> targets)
      throws IOException, InterruptedException {
    Path scenario = folder.resolve("scenario.json");
    Files.writeString(scenario, scenario(seed, durationMillis, flows));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    Path target = root.resolve("cli").resolve("target");
    command.addAll(
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
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
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
