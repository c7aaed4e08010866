package org.limpetvale.forward.place;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;

/** The outcome of an attempt to place a request. */
public sealed interface Placement {
  /** An upstream can take the request now. */
  record Chosen(Choice choice) implements Placement {
    public Chosen {
      Objects.requireNonNull(choice, "choice is null");
    }
  }

  /**
   * Only upstreams could take the request that have named a limit or asked for a pause, and accept
   * no request of this entry at present.
   *
   * @param upstreams these upstreams; never empty
   */
  record Deferred(List<Upstream> upstreams) implements Placement {
    public Deferred {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** No upstream can take the request. */
  record Unavailable() implements Placement {}
}
