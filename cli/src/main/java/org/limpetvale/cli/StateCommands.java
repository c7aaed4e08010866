package org.limpetvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Commands that show or change the state of the system. */
final class StateCommands {
  private StateCommands() {}

  /** Shows the state of an entry. */
  @Command(
      name = "status",
      description = "Shows the state of an entry and of the upstreams it knows.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale status --entry http://127.0.0.1:8080")
  static final class StatusCommand implements Callable<Integer> {
    @Mixin private OperatorClient client;

    @Override
    public Integer call() {
      return client.call("GET", "/status", null, StatusCommand::text);
    }

    private static String text(JsonNode state) {
      String upstreams =
          StreamSupport.stream(state.path("upstreams").spliterator(), false)
              .map(StatusCommand::line)
              .collect(Collectors.joining("\n"));
      return "entry "
          + state.path("entry").asText()
          + "\nconfiguration version "
          + state.path("configVersion")
          + ", confirmed "
          + state.path("confirmedAgeMillis")
          + " ms ago, keyed routes "
          + (state.path("servesKeyedRoutes").asBoolean() ? "served" : "not served")
          + "\nopen requests "
          + state.path("openRequests")
          + "\nleases "
          + state.path("leases")
          + "\n"
          + upstreams;
    }

    private static String line(JsonNode each) {
      return String.format(
          Locale.ROOT,
          "%-16s %-10s %-16s %-12s running %d/%d queued %d, %.1f tokens/s a stream",
          each.path("vm").asText(),
          each.path("zone").asText(),
          each.path("pool").asText(),
          each.path("available").asBoolean() ? "available" : "unavailable",
          each.path("running").asInt(),
          each.path("capacity").asInt(),
          each.path("queued").asInt(),
          each.path("streamTokensPerSecond").asDouble());
    }
  }

  /** Drains, starts and stops upstreams. */
  @Command(
      name = "upstream",
      description = "Drains, starts or stops an upstream.",
      mixinStandardHelpOptions = true)
  static final class UpstreamCommand {
    @Command(
        description = "Stops sending new requests to an upstream.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale upstream drain m3")
    int drain(@Mixin OperatorClient client, @Parameters(paramLabel = "VM") String vm) {
      return sendOrder(client, vm, "drain");
    }

    @Command(
        description = "Resumes sending requests to a drained upstream.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale upstream undrain m3")
    int undrain(@Mixin OperatorClient client, @Parameters(paramLabel = "VM") String vm) {
      return sendOrder(client, vm, "undrain");
    }

    @Command(
        description = "Starts an upstream.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale upstream start m3")
    int start(@Mixin OperatorClient client, @Parameters(paramLabel = "VM") String vm) {
      return sendOrder(client, vm, "start");
    }

    @Command(
        description = "Drains an upstream and stops it when no request is left.",
        mixinStandardHelpOptions = true,
        footer = "Example: limpetvale upstream stop m3")
    int stop(@Mixin OperatorClient client, @Parameters(paramLabel = "VM") String vm) {
      return sendOrder(client, vm, "stop");
    }

    private static int sendOrder(OperatorClient client, String vm, String action) {
      return client.call(
          "POST",
          "/upstreams/" + vm + "/" + action,
          "",
          answer -> "taken: " + action + " " + vm + " in zone " + answer.path("zone").asText());
    }
  }

  /** Explains the routing decisions for a request. */
  @Command(
      name = "explain",
      description = "Shows the recent routing decisions of an entry for a request.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale explain 4f1d9c2b7a")
  static final class ExplainCommand implements Callable<Integer> {
    @Mixin private OperatorClient client;

    @Parameters(paramLabel = "REQUEST_ID")
    private String requestId;

    @Override
    public Integer call() {
      return client.call("GET", "/requests/" + requestId, null, ExplainCommand::text);
    }

    private static String text(JsonNode decisions) {
      if (decisions.isEmpty()) {
        return "this entry knows no such request of late";
      }
      return StreamSupport.stream(decisions.spliterator(), false)
          .map(
              each ->
                  "attempt "
                      + each.path("attempt")
                      + ": "
                      + each.path("chosen").asText()
                      + " "
                      + each.path("candidates"))
          .collect(Collectors.joining("\n"));
    }
  }
}
