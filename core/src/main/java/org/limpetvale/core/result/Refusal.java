package org.limpetvale.core.result;

import java.util.Objects;

/**
 * An error answer: a numbered code with what is known of the request.
 *
 * @param code the numbered code
 * @param detail one sentence for people
 * @param executionStatus whether the request reached an upstream
 * @param retryAfterMillis when to come back, in milliseconds; 0 when coming back is of no use
 */
public record Refusal(
    ResultCode code, String detail, ExecutionStatus executionStatus, long retryAfterMillis) {
  public Refusal {
    Objects.requireNonNull(code, "code is null");
    Objects.requireNonNull(detail, "detail is null");
    Objects.requireNonNull(executionStatus, "ran is null");
  }

  /** Returns a refusal that says of the request what the code says. */
  public static Refusal of(ResultCode code, String detail) {
    return new Refusal(code, detail, code.executionStatus(), 0);
  }

  /** Returns a refusal that also tells when to come back. */
  public static Refusal of(ResultCode code, String detail, long retryAfterMillis) {
    return new Refusal(code, detail, code.executionStatus(), retryAfterMillis);
  }

  /** Returns this refusal with other knowledge of whether the request ran. */
  public Refusal withExecutionStatus(ExecutionStatus known) {
    return new Refusal(code, detail, known, retryAfterMillis);
  }
}
