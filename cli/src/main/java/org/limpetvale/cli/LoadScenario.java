package org.limpetvale.cli;

import java.util.List;
import java.util.Objects;

/**
 * An open-loop load scenario: requests arrive at random times that do not depend on whether earlier
 * requests have been answered.
 *
 * @param seed seed of the random arrival times and answer lengths
 * @param durationMillis period during which requests arrive, in milliseconds
 * @param model model to request
 * @param flows the flows of requests
 */
public record LoadScenario(long seed, long durationMillis, String model, List<Flow> flows) {
  public LoadScenario {
    Objects.requireNonNull(model, "model is null");
    flows = List.copyOf(Objects.requireNonNull(flows, "flows is null"));
  }

  /**
   * Requests of one class from one workspace.
   *
   * @param workspace name of the workspace, shown in the results
   * @param keyFile file that contains the API key
   * @param requestClass request class
   * @param perSecond mean arrival rate outside the burst, in requests per second
   * @param burstFactor factor by which the arrival rate rises during the burst
   * @param burstFromMillis start of the burst, in milliseconds after the start of the run
   * @param burstToMillis end of the burst, in milliseconds after the start of the run
   * @param medianTokens median answer length, in tokens
   * @param tailSigma standard deviation of the logarithm of the answer length
   * @param promptChars length of the padding in the prompt, in characters
   * @param firstTokenTargetMillis target of the time to first token, in milliseconds
   * @param tokenGapTargetMillis target of the mean gap between tokens, in milliseconds
   * @param resend whether a refused request is retried once, after the time in Retry-After
   */
  public record Flow(
      String workspace,
      String keyFile,
      String requestClass,
      double perSecond,
      double burstFactor,
      long burstFromMillis,
      long burstToMillis,
      int medianTokens,
      double tailSigma,
      int promptChars,
      long firstTokenTargetMillis,
      long tokenGapTargetMillis,
      boolean resend) {}
}
