package org.limpetvale.ports;

/** The result of a transaction. */
public sealed interface CommitResult {
  /** It took effect. */
  record Committed(long revision) implements CommitResult {}

  /** A condition did not hold; nothing was written. */
  record Conflict() implements CommitResult {}

  /** The table was not reached or refused; nothing was written. */
  record Unavailable(String detail) implements CommitResult {}

  /** The answer was lost; it may have taken effect or may yet take effect. */
  record Unknown(String detail) implements CommitResult {}
}
