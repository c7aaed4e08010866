package org.limpetvale.core.repeat;

import java.util.Objects;
import java.util.Optional;

/**
 * The claim of a call that may not be repeated.
 *
 * @param token token of the process that claimed it
 * @param bodyDigest digest of method, path and body
 * @param state how far the call has come
 * @param answer the answer, once finished
 */
public record ClaimRow(
    String token, String bodyDigest, State state, Optional<StoredAnswer> answer) {

  /** How far a call has come. */
  public enum State {
    /** Claimed; it may run at any moment. */
    CLAIMED,
    /** The call certainly did not run; the claim may be taken again. */
    RELEASED,
    /** It is not known whether the call ran. */
    UNKNOWN,
    /** The call ran and its answer is stored. */
    FINISHED
  }

  /**
   * A stored answer.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param bodyBase64 body in Base64
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

  /** Returns this claim in another state without an answer. */
  public ClaimRow withState(State next) {
    return new ClaimRow(token, bodyDigest, next, Optional.empty());
  }

  /** Returns this claim with its answer. */
  public ClaimRow finished(StoredAnswer stored) {
    return new ClaimRow(token, bodyDigest, State.FINISHED, Optional.of(stored));
  }
}
