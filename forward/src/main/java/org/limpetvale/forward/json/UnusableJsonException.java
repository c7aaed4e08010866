package org.limpetvale.forward.json;

/** Signals a JSON value of a wrong type or out of its range. */
public final class UnusableJsonException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception that names the value. */
  public UnusableJsonException(String message) {
    super(message);
  }
}
