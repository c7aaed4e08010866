package org.limpetvale.ports;

/** The result of a transaction. */
public sealed interface CommitResult {
  /** The transaction took effect. */
  record Committed(long revision) implements CommitResult {}

  /** A condition did not hold; nothing was written. */
  record Conflict() implements CommitResult {}

  /** The table was unreachable or refused the call; nothing was written. */
  record Unavailable(String detail) implements CommitResult {}

  /** The answer was lost; the transaction may have taken effect or may still take effect. */
  record Unknown(String detail) implements CommitResult {}
}
