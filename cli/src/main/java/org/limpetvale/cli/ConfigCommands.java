package org.limpetvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for templates, workspace parameters and the configuration history. */
final class ConfigCommands {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ConfigCommands() {}

  /** Validates, applies and shows templates. */
  @Command(
      name = "template",
      description = "Manages the templates that workspaces share.",
      mixinStandardHelpOptions = true)
  static final class TemplateCommand {
    private static final String TYPE = "put-template";
    private static final String FIELD = "template";

    @Command(
        description = "Validates a template and lists all errors.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale template validate docs/examples/template.json")
    int validate(@Mixin OperatorClient client, @Parameters(paramLabel = "FILE") Path file) {
      return ConfigCommands.validate(client, file, TYPE, FIELD);
    }

    @Command(
        description = "Applies a template.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale template apply docs/examples/template.json")
    int apply(@Mixin OperatorClient client, @Parameters(paramLabel = "FILE") Path file) {
      return ConfigCommands.apply(client, file, TYPE, FIELD);
    }

    @Command(
        description = "Shows an active template.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale template show caroni")
    int show(@Mixin OperatorClient client, @Parameters(paramLabel = "NAME") String name) {
      return client.call("GET", "/templates/" + name, null, JsonNode::toPrettyString);
    }
  }

  /** Validates, applies and shows the parameters of workspaces. */
  @Command(
      name = "parameters",
      description = "Manages the parameters of workspaces.",
      mixinStandardHelpOptions = true)
  static final class ParametersCommand {
    private static final String TYPE = "put-parameters";
    private static final String FIELD = "parameters";

    @Command(
        description = "Validates the parameters of a workspace and lists all errors.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale parameters validate docs/examples/workspace.json")
    int validate(@Mixin OperatorClient client, @Parameters(paramLabel = "FILE") Path file) {
      return ConfigCommands.validate(client, file, TYPE, FIELD);
    }

    @Command(
        description = "Applies the parameters of a workspace.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale parameters apply docs/examples/workspace.json")
    int apply(@Mixin OperatorClient client, @Parameters(paramLabel = "FILE") Path file) {
      return ConfigCommands.apply(client, file, TYPE, FIELD);
    }

    @Command(
        description = "Shows the active parameters of a workspace.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale parameters show dispatch-south")
    int show(@Mixin OperatorClient client, @Parameters(paramLabel = "WORKSPACE") String name) {
      return client.call("GET", "/workspaces/" + name, null, JsonNode::toPrettyString);
    }
  }

  /** Lists the accepted changes of the configuration. */
  @Command(
      name = "history",
      description = "Lists the accepted configuration changes.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale history --after 120")
  static final class HistoryCommand implements java.util.concurrent.Callable<Integer> {
    @Mixin private OperatorClient client;

    @Option(
        names = "--after",
        defaultValue = "0",
        description = "List the changes after this version, at most 200.")
    private long after;

    @Override
    public Integer call() {
      return client.call("GET", "/changes?after=" + after, null, HistoryCommand::lines);
    }

    private static String lines(JsonNode changes) {
      return StreamSupport.stream(changes.spliterator(), false)
          .map(
              each ->
                  each.path("version").asText()
                      + " "
                      + each.path("author").asText()
                      + " "
                      + each.path("change"))
          .collect(Collectors.joining("\n"));
    }
  }

  private static int validate(OperatorClient client, Path file, String type, String field) {
    String body;
    try {
      body = change(file, type, field);
    } catch (IOException e) {
      return client.usageError(fileError(file, e));
    }
    return client.call("POST", "/validate", body, ConfigCommands::faults);
  }

  private static int apply(OperatorClient client, Path file, String type, String field) {
    String body;
    try {
      body = change(file, type, field);
    } catch (IOException e) {
      return client.usageError(fileError(file, e));
    }
    return client.call(
        "POST", "/changes", body, answer -> "accepted as version " + answer.path("version"));
  }

  private static String change(Path file, String type, String field) throws IOException {
    ObjectNode change = MAPPER.createObjectNode();
    change.put("type", type);
    change.set(field, MAPPER.readTree(Files.readString(file)));
    return change.toString();
  }

  private static String faults(JsonNode answer) {
    JsonNode faults = answer.path("faults");
    if (faults.isEmpty()) {
      return "no faults";
    }
    return StreamSupport.stream(faults.spliterator(), false)
        .map(
            each ->
                each.path("field").asText()
                    + ": "
                    + each.path("value").asText()
                    + " is not allowed; allowed: "
                    + each.path("allowed").asText())
        .collect(Collectors.joining("\n"));
  }

  private static String fileError(Path file, IOException e) {
    return e instanceof JsonProcessingException bad
        ? file + ": " + bad.getOriginalMessage()
        : file + ": cannot be read";
  }
}
