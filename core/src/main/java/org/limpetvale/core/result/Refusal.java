package org.limpetvale.core.result;

import java.util.Objects;

/**
 * An error answer: a numbered code and the execution status of the request.
 *
 * @param code the numbered code
 * @param detail human-readable detail, one sentence
 * @param executionStatus whether the request reached an upstream and ran there
 * @param retryAfterMillis delay before the client should retry, in milliseconds; 0 if a retry is of
 *     no use
 */
public record Refusal(
    ResultCode code, String detail, ExecutionStatus executionStatus, long retryAfterMillis) {
  public Refusal {
    Objects.requireNonNull(code, "code is null");
    Objects.requireNonNull(detail, "detail is null");
    Objects.requireNonNull(executionStatus, "ran is null");
  }

  /** Returns a refusal with the default execution status of the code. */
  public static Refusal of(ResultCode code, String detail) {
    return new Refusal(code, detail, code.executionStatus(), 0);
  }

  /** Returns a refusal with a retry delay. */
  public static Refusal of(ResultCode code, String detail, long retryAfterMillis) {
    return new Refusal(code, detail, code.executionStatus(), retryAfterMillis);
  }

  /** Returns this refusal with another execution status. */
  public Refusal withExecutionStatus(ExecutionStatus status) {
    return new Refusal(code, detail, status, retryAfterMillis);
  }
}
