package org.limpetvale.core.limit;

import java.util.Objects;

/** What a response says about the request rate that its upstream accepts from all entries. */
public sealed interface StatedLimit {
  /** The response names no limit. */
  StatedLimit NONE = new None();

  /** The response names no limit. */
  record None() implements StatedLimit {}

  /**
   * The response names a limit.
   *
   * @param requestsPerSecond requests that the upstream accepts per second from all entries
   *     together; finite and not negative
   */
  record PerSecond(double requestsPerSecond) implements StatedLimit {
    public PerSecond {
      if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
        throw new IllegalArgumentException("not a rate: " + requestsPerSecond);
      }
    }
  }

  /**
   * The response names a limit that cannot be understood. It neither sets nor ends a limit.
   *
   * @param text the start of what the response says
   */
  record Unreadable(String text) implements StatedLimit {
    public Unreadable {
      Objects.requireNonNull(text, "text is null");
    }
  }
}
