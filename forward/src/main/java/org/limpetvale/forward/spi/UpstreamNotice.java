package org.limpetvale.forward.spi;

import java.util.Objects;
import java.util.Optional;
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
   */
  public record Load(int running, int waiting, int slots) {}

  public UpstreamNotice {
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(limit, "limit is null");
    Objects.requireNonNull(pause, "pause is null");
  }
}
