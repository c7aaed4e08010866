package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;

/**
 * The status code of a response. Only codes from 100 to 599 exist; what else a response names in
 * its place is no status, so the bytes are no response.
 *
 * @param value the code, from {@value #MIN} to {@value #MAX}
 */
record StatusCode(int value) {
  private static final int MIN = 100;
  private static final int MAX = 599;
  private static final int DIGITS = 3;

  /** Number of codes in a class. */
  private static final int CLASS_SIZE = 100;

  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR_CLASS = 5;

  /** The connection changes to another protocol, which no request asks for. */
  static final StatusCode SWITCHING_PROTOCOLS = new StatusCode(101);

  /** The request reached the wrong upstream, which has not executed it. */
  static final StatusCode MISDIRECTED = new StatusCode(421);

  /** The upstream failed while it executed the request. */
  static final StatusCode INTERNAL_ERROR = new StatusCode(500);

  /** Statuses that state to a caller that the request has not run and never will. */
  private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, MISDIRECTED.value, 429, 503);

  StatusCode {
    if (value < MIN || value > MAX) {
      throw new IllegalArgumentException("no status code: " + value);
    }
  }

  /**
   * Decodes a code as it stands in a status line.
   *
   * @throws IllegalArgumentException if it is not three digits that form an existing code
   */
  static StatusCode decode(String text) {
    if (text.length() != DIGITS || !text.chars().allMatch(StatusCode::isDigit)) {
      throw new IllegalArgumentException("no status code: " + text);
    }
    return new StatusCode(Integer.parseInt(text));
  }

  private static boolean isDigit(int character) {
    return character >= '0' && character <= '9';
  }

  /**
   * Returns the code of a decoded response.
   *
   * @throws IllegalArgumentException if it does not exist; {@link UpstreamResponseDecoder} delivers
   *     no such response
   */
  static StatusCode of(HttpResponse response) {
    return new StatusCode(response.status().code());
  }

  /** Returns whether a final response follows. */
  boolean isInterim() {
    return value / CLASS_SIZE == 1 && !equals(SWITCHING_PROTOCOLS);
  }

  /** Returns whether the request succeeded. */
  boolean isSuccess() {
    return value / CLASS_SIZE == SUCCESS_CLASS;
  }

  /** Returns whether the code states that the request has not run and never will. */
  boolean promisesNotRun() {
    return PROMISES_NOT_RUN.contains(value);
  }

  /** Returns whether it is a server error. */
  boolean isServerError() {
    return value / CLASS_SIZE == SERVER_ERROR_CLASS;
  }

  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
