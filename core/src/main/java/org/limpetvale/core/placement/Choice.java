package org.limpetvale.core.placement;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.fleet.Upstream;

/**
 * The upstream that a request is placed on.
 *
 * @param upstream the upstream
 * @param predictedMillis predicted time to the first event or answer
 * @param costMillis predicted time with the harm to others and the failure risk added
 * @param load what was known of the upstream
 * @param passedOver the candidate with the most of the prompt in its cache, if another was chosen
 *     that has less
 */
public record Choice(
    Upstream upstream,
    double predictedMillis,
    double costMillis,
    UpstreamLoad load,
    Optional<Choice> passedOver) {
  public Choice {
    Objects.requireNonNull(upstream, "upstream is null");
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(passedOver, "passedOver is null");
  }

  /** Returns a choice that passes nothing over. */
  public static Choice of(
      Upstream upstream, double predictedMillis, double costMillis, UpstreamLoad load) {
    return new Choice(upstream, predictedMillis, costMillis, load, Optional.empty());
  }

  /** Returns this choice with what was passed over for it, if that had more in its cache. */
  Choice withPassedOver(Choice richest) {
    boolean richer = richest.load.cachedTokens() > load.cachedTokens();
    return new Choice(
        upstream, predictedMillis, costMillis, load, richer ? Optional.of(richest) : passedOver);
  }
}
