package org.limpetvale.core.placement;

import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * The upstream that a request is placed on.
 *
 * @param upstream the upstream
 * @param predictedMillis predicted time to the first event or answer
 * @param costMillis predicted time with the harm to others and the failure risk added
 * @param load what was known of the upstream
 */
public record Choice(
    Upstream upstream, double predictedMillis, double costMillis, UpstreamLoad load) {
  public Choice {
    Objects.requireNonNull(upstream, "upstream is null");
    Objects.requireNonNull(load, "load is null");
  }
}
