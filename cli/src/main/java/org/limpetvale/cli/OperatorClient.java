package org.limpetvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Function;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Common options of the operator commands; calls the admin API of an entry. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_ERROR_STATUS = 400;

  @Option(
      names = "--entry",
      defaultValue = "${LIMPETVALE_ENTRY:-http://127.0.0.1:8080}",
      description = "Base URL of an entry (default: ${DEFAULT-VALUE}).")
  private String entry;

  @Option(
      names = "--operator-key",
      defaultValue = "${LIMPETVALE_OPERATOR_KEY:-}",
      description = "Operator key; prefer the environment variable LIMPETVALE_OPERATOR_KEY.")
  private String operatorKey;

  @Option(names = "--json", description = "Print the answer as JSON.")
  private boolean json;

  @Spec(Spec.Target.MIXEE)
  private CommandSpec spec;

  /**
   * Calls the entry and prints its answer.
   *
   * @param method HTTP method
   * @param path path below the admin API
   * @param body body; null for none
   * @param text formats the answer as text, for use without {@code --json}
   * @return the exit code
   */
  int call(String method, String path, String body, Function<JsonNode, String> text) {
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(entry + "/v1/admin" + path))
            .timeout(ANSWER_TIMEOUT)
            .header("Authorization", "Bearer " + operatorKey)
            .header("Content-Type", "application/json")
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    try (HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()) {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      JsonNode answer = MAPPER.readTree(response.body().isEmpty() ? "{}" : response.body());
      if (response.statusCode() >= FIRST_ERROR_STATUS) {
        err.println(json ? answer.toString() : refusal(answer));
        return ExitCodes.REFUSED;
      }
      out.println(json ? answer.toString() : text.apply(answer));
      return ExitCodes.OK;
    } catch (JsonProcessingException e) {
      err.println("the answer of " + entry + " is not JSON; is it an entry?");
      return ExitCodes.NOT_REACHED;
    } catch (IOException e) {
      err.println("no answer from " + entry + ": " + e.getMessage());
      return ExitCodes.NOT_REACHED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCodes.NOT_REACHED;
    }
  }

  /** Prints an error in the input of the command; returns the exit code. */
  int usageError(String message) {
    spec.commandLine().getErr().println(message);
    return ExitCodes.USAGE;
  }

  private static String refusal(JsonNode answer) {
    return answer.path("code").asText()
        + " "
        + answer.path("title").asText()
        + "\n"
        + answer.path("detail").asText();
  }
}
