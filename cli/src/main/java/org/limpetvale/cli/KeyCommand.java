package org.limpetvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.limpetvale.daemon.Digests;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Manages the API keys of callers and computes digests of operator keys. */
@Command(
    name = "key",
    description = "Manages the API keys of callers and computes digests of operator keys.",
    mixinStandardHelpOptions = true)
final class KeyCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Command(
      description = "Grants a key and prints it; it is not shown again.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale key grant dispatch-1 dispatch-south")
  int grant(
      @Mixin OperatorClient client,
      @Parameters(paramLabel = "KEY_ID") String keyId,
      @Parameters(paramLabel = "WORKSPACE") String workspace) {
    String body =
        MAPPER.createObjectNode().put("keyId", keyId).put("workspace", workspace).toString();
    return client.call("POST", "/keys", body, answer -> answer.path("key").asText());
  }

  @Command(
      description = "Withdraws a key; streams opened with it end within seconds.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale key withdraw dispatch-1")
  int withdraw(@Mixin OperatorClient client, @Parameters(paramLabel = "KEY_ID") String keyId) {
    return client.call(
        "DELETE",
        "/keys/" + keyId,
        null,
        answer -> "accepted as version " + answer.path("version"));
  }

  @Command(
      description = "Lists the active keys.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale key list --json")
  int list(@Mixin OperatorClient client) {
    return client.call("GET", "/keys", null, KeyCommand::lines);
  }

  @Command(
      description =
          "Prints the digest of an operator key, to be copied into the settings of the entries.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale key digest --secret \"$SECRET\" \"$KEY\"")
  int digest(
      @Option(
              names = "--secret",
              required = true,
              description = "Value of keyDigestSecret in the settings of the entries.")
          String secret,
      @Parameters(paramLabel = "KEY") String key) {
    System.out.println(Digests.of(secret).digest(key));
    return ExitCodes.OK;
  }

  private static String lines(JsonNode keys) {
    return StreamSupport.stream(keys.spliterator(), false)
        .map(each -> each.path("keyId").asText() + " " + each.path("workspace").asText())
        .collect(Collectors.joining("\n"));
  }
}
