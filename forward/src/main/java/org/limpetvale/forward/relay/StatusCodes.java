package org.limpetvale.forward.relay;

/** HTTP status codes and classes that determine how a response is handled. */
final class StatusCodes {
  /** The request reached the wrong upstream, which has not executed it. */
  static final int MISDIRECTED = 421;

  /** The upstream failed while it executed the request. */
  static final int INTERNAL_ERROR = 500;

  static final int FIRST_REDIRECT = 300;
  static final int FIRST_SERVER_ERROR = 500;

  private StatusCodes() {}

  /** Returns whether a status is below 300, which counts as a success. */
  static boolean isSuccess(int status) {
    return status < FIRST_REDIRECT;
  }

  /** Returns whether a status is a server error. */
  static boolean isServerError(int status) {
    return status >= FIRST_SERVER_ERROR;
  }
}
