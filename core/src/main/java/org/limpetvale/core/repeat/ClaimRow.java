package org.limpetvale.core.repeat;

import java.util.Objects;
import java.util.Optional;

/**
 * The stored claim for one execution of a non-idempotent call.
 *
 * @param token token of the process that made the claim
 * @param bodyDigest digest of the call's method, path and body
 * @param state state of the call
 * @param answer the stored answer of a finished call
 */
public record ClaimRow(
    String token, String bodyDigest, State state, Optional<StoredAnswer> answer) {

  /** The state of a claimed call. */
  public enum State {
    /** Claimed; the call may be running. */
    CLAIMED,
    /** The call did not run; it may be claimed again. */
    RELEASED,
    /** Unknown whether the call ran. */
    UNKNOWN,
    /** The call ran and its answer is stored. */
    FINISHED
  }

  /**
   * A stored answer.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param bodyBase64 body encoded in Base64
   */
  public record StoredAnswer(int status, String contentType, String bodyBase64) {}

  public ClaimRow {
    Objects.requireNonNull(token, "token is null");
    Objects.requireNonNull(bodyDigest, "bodyDigest is null");
    Objects.requireNonNull(state, "state is null");
    answer = answer == null ? Optional.empty() : answer;
  }

  /** Returns a new claim. */
  public static ClaimRow claimed(String token, String bodyDigest) {
    return new ClaimRow(token, bodyDigest, State.CLAIMED, Optional.empty());
  }

  /** Returns this claim in the given state, without an answer. */
  public ClaimRow withState(State next) {
    return new ClaimRow(token, bodyDigest, next, Optional.empty());
  }

  /** Returns this claim as finished with the given answer. */
  public ClaimRow finished(StoredAnswer stored) {
    return new ClaimRow(token, bodyDigest, State.FINISHED, Optional.of(stored));
  }
}
