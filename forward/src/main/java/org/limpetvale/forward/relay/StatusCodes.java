package org.limpetvale.forward.relay;

/** Status codes and their classes that decide what becomes of an answer. */
final class StatusCodes {
  /** The upstream is not the one that was meant, and has not run the request. */
  static final int MISDIRECTED = 421;

  /** The upstream has run the request, and failed. */
  static final int INTERNAL_ERROR = 500;

  static final int FIRST_REDIRECT = 300;
  static final int FIRST_SERVER_ERROR = 500;

  private StatusCodes() {}

  /** Tells whether an answer is a success. */
  static boolean isSuccess(int status) {
    return status < FIRST_REDIRECT;
  }

  /** Tells whether an answer is a failure of the upstream. */
  static boolean isServerError(int status) {
    return status >= FIRST_SERVER_ERROR;
  }
}
