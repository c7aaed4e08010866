package org.limpetvale.core.repeat;

import java.util.Optional;

/** What to do with a call that may not be repeated. */
public sealed interface ClaimDecision {
  /** Claim it and run it. */
  record Run() implements ClaimDecision {}

  /** Answer with the stored answer. */
  record Replay(ClaimRow.StoredAnswer answer) implements ClaimDecision {}

  /** The key came before with another body. */
  record BodyMismatch() implements ClaimDecision {}

  /** An earlier call is running, or its process died while it ran. */
  record InProgress() implements ClaimDecision {}

  /** An earlier call may have run. */
  record MayHaveRun() implements ClaimDecision {}

  /**
   * Decides by the claim that stands in the table.
   *
   * @param standing the claim; empty when there is none
   * @param bodyDigest digest of the call
   */
  static ClaimDecision of(Optional<ClaimRow> standing, String bodyDigest) {
    if (standing.isEmpty()) {
      return new Run();
    }
    ClaimRow row = standing.get();
    if (!row.bodyDigest().equals(bodyDigest)) {
      return new BodyMismatch();
    }
    return switch (row.state()) {
      case CLAIMED -> new InProgress();
      case RELEASED -> new Run();
      case UNKNOWN -> new MayHaveRun();
      case FINISHED -> row.answer().<ClaimDecision>map(Replay::new).orElseGet(MayHaveRun::new);
    };
  }
}
