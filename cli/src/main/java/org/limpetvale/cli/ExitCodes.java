package org.limpetvale.cli;

/** Exit codes of the operator commands. */
final class ExitCodes {
  static final int OK = 0;

  /** The entry refused the request. */
  static final int REFUSED = 1;

  /** The command line or an input file is invalid; equals the usage error code of picocli. */
  static final int USAGE = 2;

  /** The entry was unreachable, or its answer was lost or invalid. */
  static final int NOT_REACHED = 3;

  private ExitCodes() {}
}
