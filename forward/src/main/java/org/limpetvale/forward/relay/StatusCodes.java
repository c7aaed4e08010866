package org.limpetvale.forward.relay;

import java.util.Set;

/** HTTP status codes and classes that determine how a response is handled. */
final class StatusCodes {
  /** The request reached the wrong upstream, which has not executed it. */
  static final int MISDIRECTED = 421;

  /** The upstream failed while it executed the request. */
  static final int INTERNAL_ERROR = 500;

  /** Statuses that state to a caller that the request has not run and never will. */
  private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, MISDIRECTED, 429, 503);

  static final int FIRST_REDIRECT = 300;
  static final int FIRST_SERVER_ERROR = 500;

  private StatusCodes() {}

  /** Returns whether a status is below 300, which counts as a success. */
  static boolean isSuccess(int status) {
    return status < FIRST_REDIRECT;
  }

  /** Returns whether a status states that the request has not run and never will. */
  static boolean promisesNotRun(int status) {
    return PROMISES_NOT_RUN.contains(status);
  }

  /** Returns whether a status is a server error. */
  static boolean isServerError(int status) {
    return status >= FIRST_SERVER_ERROR;
  }
}
