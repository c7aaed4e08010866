package org.limpetvale.core.repeat;

import java.util.Optional;

/** Decision on a non-idempotent call that carries an idempotency key. */
public sealed interface ClaimDecision {
  /** Claim the call and run it. */
  record Run() implements ClaimDecision {}

  /** Return the stored answer of the earlier call. */
  record Replay(ClaimRow.StoredAnswer answer) implements ClaimDecision {}

  /** The key was used before with another body. */
  record BodyMismatch() implements ClaimDecision {}

  /** An earlier call is running, or its process died while running it. */
  record InProgress() implements ClaimDecision {}

  /** An earlier call may have run; its outcome is unknown. */
  record MayHaveRun() implements ClaimDecision {}

  /**
   * Decides from the claim stored in the table.
   *
   * @param stored the stored claim; empty if there is none
   * @param bodyDigest digest of the call's method, path and body
   */
  static ClaimDecision of(Optional<ClaimRow> stored, String bodyDigest) {
    if (stored.isEmpty()) {
      return new Run();
    }
    ClaimRow row = stored.get();
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
