package org.limpetvale.core.result;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

/** Numbered results of requests and operations, documented in docs/RESULT-CODES.md. */
public enum ResultCode {
  KEY_MISSING(
      1001, 401, ExecutionStatus.NOT_RUN, "The route needs a key and the request carried none."),
  KEY_UNKNOWN(1002, 401, ExecutionStatus.NOT_RUN, "The key is unknown, malformed or withdrawn."),
  KEY_WITHDRAWN(
      1003, 401, ExecutionStatus.MAY_HAVE_RUN, "The key was withdrawn while the request ran."),
  CLASS_NOT_ALLOWED(
      1004, 403, ExecutionStatus.NOT_RUN, "The workspace may not send this request class."),
  MODEL_NOT_ALLOWED(1005, 403, ExecutionStatus.NOT_RUN, "The workspace may not use this model."),
  ROUTE_UNKNOWN(1006, 404, ExecutionStatus.NOT_RUN, "No such service or route."),
  OPERATOR_KEY_REFUSED(1007, 401, ExecutionStatus.NOT_RUN, "The call needs an operator's key."),
  BODY_MALFORMED(
      2001, 400, ExecutionStatus.NOT_RUN, "The body is not valid JSON of the expected shape."),
  BODY_TOO_LARGE(2002, 413, ExecutionStatus.NOT_RUN, "The body is larger than the limit."),
  FIELD_INVALID(2003, 400, ExecutionStatus.NOT_RUN, "A field has a value outside its range."),
  KEY_REUSED(
      2004, 422, ExecutionStatus.NOT_RUN, "The Idempotency-Key came before with another body."),
  CONFIG_INVALID(2005, 422, ExecutionStatus.NOT_RUN, "The configuration change has faults."),
  BODY_TOO_SLOW(2006, 408, ExecutionStatus.NOT_RUN, "The body did not arrive in time."),
  HEADER_TOO_LARGE(2007, 431, ExecutionStatus.NOT_RUN, "The header is larger than the limit."),
  HEADER_TOO_SLOW(2008, 408, ExecutionStatus.NOT_RUN, "The header did not arrive in time."),
  REQUEST_MALFORMED(
      2009, 400, ExecutionStatus.NOT_RUN, "The request is not valid HTTP or is ambiguous."),
  QUEUE_FULL(
      3001, 429, ExecutionStatus.NOT_RUN, "Every queue that could take the request is full."),
  DISPLACED(
      3002, 429, ExecutionStatus.NOT_RUN, "A request with precedence took the place in the queue."),
  TARGET_OUT_OF_REACH(
      3003, 429, ExecutionStatus.NOT_RUN, "The latency target can no longer be met."),
  NO_UPSTREAM(
      3004, 503, ExecutionStatus.NOT_RUN, "No upstream for this model or service is available."),
  DRAINING(3005, 503, ExecutionStatus.NOT_RUN, "The upstream or VM is leaving."),
  CONFIG_STALE(
      3006, 503, ExecutionStatus.NOT_RUN, "The configuration cannot be confirmed to be current."),
  RETRY_BUDGET_SPENT(
      3007, 503, ExecutionStatus.NOT_RUN, "The retry budget of this entry is spent."),
  TABLE_UNAVAILABLE(
      3008, 503, ExecutionStatus.NOT_RUN, "The table service is needed and does not answer."),
  CONFIG_UNKNOWN(3009, 503, ExecutionStatus.NOT_RUN, "No configuration is known yet."),
  UPSTREAM_FULL(
      3010, 503, ExecutionStatus.NOT_RUN, "Every upstream that was tried refused the request."),
  MEMORY_SHORT(3011, 503, ExecutionStatus.NOT_RUN, "Too many request bodies are being held."),
  UPSTREAMS_NOT_ACCEPTING(
      3012,
      503,
      ExecutionStatus.NOT_RUN,
      "Every upstream that could take the request has asked for fewer requests."),
  NO_REGION_ALLOWED(
      3014,
      503,
      ExecutionStatus.NOT_RUN,
      "No region is allowed by both the route and the workspace."),
  UPSTREAM_CRASHED(
      4001, 502, ExecutionStatus.MAY_HAVE_RUN, "The upstream crashed while it ran the request."),
  UPSTREAM_SILENT(4002, 504, ExecutionStatus.MAY_HAVE_RUN, "The upstream stopped answering."),
  CONNECTION_LOST(
      4003, 502, ExecutionStatus.MAY_HAVE_RUN, "The connection to the sidecar was lost."),
  REPEAT_UNRESOLVED(
      4004,
      409,
      ExecutionStatus.MAY_HAVE_RUN,
      "An earlier call with this Idempotency-Key may have run."),
  REPEAT_RUNNING(
      4005,
      409,
      ExecutionStatus.MAY_HAVE_RUN,
      "An earlier call with this Idempotency-Key is running."),
  REQUEST_CRASHES_UPSTREAMS(
      4006,
      422,
      ExecutionStatus.RAN,
      "This request has crashed two upstreams and is not run again."),
  UPSTREAM_ERROR(4007, 502, ExecutionStatus.RAN, "The upstream answered with an error."),
  CANCELLED(4008, 499, ExecutionStatus.MAY_HAVE_RUN, "The caller went away."),
  UPSTREAM_TIMEOUT(
      4009, 504, ExecutionStatus.MAY_HAVE_RUN, "The time allowed for the request has passed."),
  ANSWER_SPOILED(
      4010, 502, ExecutionStatus.MAY_HAVE_RUN, "The upstream's answer was broken or not its own."),
  UPSTREAM_LOST(
      4011, 502, ExecutionStatus.MAY_HAVE_RUN, "The connection to the upstream was lost."),
  PROMPT_PART_CRASHES_UPSTREAMS(
      4012,
      422,
      ExecutionStatus.NOT_RUN,
      "Upstreams crash on a part of this request's prompt, and it was not run."),
  PROMPT_PART_SUSPECTED(
      4013,
      503,
      ExecutionStatus.NOT_RUN,
      "Upstreams have just crashed on requests with a part of this request's prompt."),
  REQUEST_SUSPECTED(
      4014,
      503,
      ExecutionStatus.NOT_RUN,
      "Upstreams were lost while they ran this request, and it is not known yet whether they crashed."),
  EPOCH_OLD(5001, 409, ExecutionStatus.NOT_RUN, "The order carries an old fencing number."),
  ORDER_BLOCKED(5002, 409, ExecutionStatus.NOT_RUN, "An earlier order of the zone is unresolved."),
  INTERNAL(9001, 500, ExecutionStatus.MAY_HAVE_RUN, "An unexpected fault inside limpetvale.");

  private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 421, 429, 503);

  private final int number;
  private final int httpStatus;
  private final ExecutionStatus executionStatus;
  private final String description;

  ResultCode(int number, int httpStatus, ExecutionStatus ran, String meaning) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.executionStatus = ran;
    this.description = meaning;
  }

  /** Returns the number sent to clients. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of the code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the default execution status, used unless more is known about the request. */
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }

  /**
   * Returns whether the HTTP status invites the client to send the request again because it was not
   * run: 408, 421, 429 or 503.
   */
  public boolean invitesRetry() {
    return RETRYABLE_STATUSES.contains(httpStatus);
  }

  /** Returns a one-sentence description. */
  public String description() {
    return description;
  }

  /** Returns the code as sent to clients, such as {@code LV-1001}. */
  public String label() {
    return "LV-" + number;
  }

  /**
   * Returns the code with the given number.
   *
   * @param number number received on the wire
   * @return the code, or empty if the number is unknown to this version
   */
  public static Optional<ResultCode> ofNumber(int number) {
    return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
  }
}
