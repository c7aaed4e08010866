package org.limpetvale.sidecar;

/** Runs dispatched attempts at the upstream. */
sealed interface UpstreamRunner permits ModelRunner, ServiceRunner {

  /** Runs one attempt to its end; the attempt has its last event when this returns. */
  Usage run(Attempt attempt);

  /**
   * What an attempt took.
   *
   * @param tokens tokens of prompt and answer
   */
  record Usage(long tokens) {}
}
