package org.limpetvale.core.crash;

import java.util.Objects;

/**
 * The start or end of a block of a prompt part, with the evidence that decided it.
 *
 * @param part id of the part
 * @param blocked whether the block has started; false if it has ended
 * @param crashes number of upstream processes that crashed on requests with the part
 * @param requests number of different requests among them
 * @param familiar whether the part was served before, or the entry cannot tell
 */
public record PartBlock(String part, boolean blocked, int crashes, int requests, boolean familiar) {
  public PartBlock {
    Objects.requireNonNull(part, "part is null");
  }

  static PartBlock started(PartCandidate candidate) {
    return of(candidate, true);
  }

  static PartBlock ended(PartCandidate candidate) {
    return of(candidate, false);
  }

  private static PartBlock of(PartCandidate candidate, boolean blocked) {
    return new PartBlock(
        candidate.part(),
        blocked,
        candidate.crashes().size(),
        candidate.distinctRequests(),
        candidate.familiar());
  }
}
