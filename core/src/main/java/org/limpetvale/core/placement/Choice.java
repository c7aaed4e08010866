package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * The upstream that a request is placed on.
 *
 * @param upstream the upstream
 * @param predictedMillis predicted time to the first event or answer
 * @param costMillis predicted time with the harm to others and the failure risk added
 * @param cachedTokens prompt tokens expected in its cache
 */
public record Choice(
    Upstream upstream, double predictedMillis, double costMillis, int cachedTokens) {
  public Choice {
    Objects.requireNonNull(upstream, "upstream is null");
  }
}
