package org.limpetvale.cli;

import java.util.List;
import java.util.Objects;

/**
 * A scenario of open-loop load.
 *
 * @param seed seed of arrivals and lengths
 * @param durationMillis time of arrivals, in milliseconds
 * @param model model that is asked
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
   * @param workspace name, for the table
   * @param keyFile file with the workspace's key
   * @param requestClass request class
   * @param perSecond mean arrivals a second
   * @param burstFactor factor of the arrivals within the burst
   * @param burstFromMillis beginning of the burst, in milliseconds
   * @param burstToMillis end of the burst, in milliseconds
   * @param medianTokens median length of an answer
   * @param tailSigma spread of the length's logarithm
   * @param promptChars length of the prompt
   * @param firstTokenTargetMillis target for the first token, in milliseconds
   * @param tokenGapTargetMillis target for the mean gap between tokens, in milliseconds
   * @param resend whether a refused request is sent once more after Retry-After
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
