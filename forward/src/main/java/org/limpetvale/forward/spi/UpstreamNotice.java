package org.limpetvale.forward.spi;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.core.limit.StatedPause;

/**
 * What an upstream states about itself in a response.
 *
 * @param load its load, if it reports it
 * @param limit the request rate that it accepts from all entries together
 * @param leaving whether it is about to end and takes no new requests
 * @param pause how long it wants no requests from this entry
 * @param coldMillis how long it is still cold; negative if it does not say
 */
public record UpstreamNotice(
    Optional<Load> load, StatedLimit limit, boolean leaving, StatedPause pause, long coldMillis) {

  /** Creates a notice that does not say whether the upstream is cold. */
  public UpstreamNotice(
      Optional<Load> load, StatedLimit limit, boolean leaving, StatedPause pause) {
    this(load, limit, leaving, pause, -1);
  }

  /**
   * An upstream's load at the time of its response.
   *
   * @param running number of running requests
   * @param waiting number of queued requests
   * @param slots maximum number of requests that run concurrently
   * @param slowdown factor by which work takes longer on its machine at that moment than usual;
   *     positive, 1 is as usual; empty if not stated. It changes many times a second, so that an
   *     old one tells little; its mean differs between machines of different speed.
   */
  public record Load(int running, int waiting, int slots, OptionalDouble slowdown) {
    public Load {
      Objects.requireNonNull(slowdown, "slowdown is null");
      if (slowdown.isPresent() && !(slowdown.getAsDouble() > 0)) {
        throw new IllegalArgumentException("slowdown is not positive");
      }
    }
  }

  public UpstreamNotice {
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(limit, "limit is null");
    Objects.requireNonNull(pause, "pause is null");
  }
}
