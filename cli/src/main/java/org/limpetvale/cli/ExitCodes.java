package org.limpetvale.cli;

/** Exit codes of the operators' commands. */
final class ExitCodes {
  static final int OK = 0;

  /** The entry refused the call. */
  static final int REFUSED = 1;

  /** The command line is wrong; picocli's own code. */
  static final int USAGE = 2;

  /** The entry was not reached, or its answer was lost. */
  static final int NOT_REACHED = 3;

  private ExitCodes() {}
}
