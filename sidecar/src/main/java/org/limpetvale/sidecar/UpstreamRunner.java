package org.limpetvale.sidecar;

/** Runs dispatched attempts at the upstream. */
sealed interface UpstreamRunner permits ModelRunner, ServiceRunner {

  /** Runs one attempt to its end; its last event has been emitted when this method returns. */
  Usage run(Attempt attempt);

  /**
   * Resources that an attempt consumed.
   *
   * @param tokens tokens charged to the attempt; 1 for a call to a plain service
   */
  record Usage(long tokens) {}
}
