package org.limpetvale.ports;

/** The result of a transaction. */
public sealed interface Commit {
  /** It took effect. */
  record Committed(long revision) implements Commit {}

  /** A condition did not hold; nothing was written. */
  record Conflict() implements Commit {}

  /** The table was not reached or refused; nothing was written. */
  record Unavailable(String detail) implements Commit {}

  /** The answer was lost; it may have taken effect or may yet take effect. */
  record Unknown(String detail) implements Commit {}
}
