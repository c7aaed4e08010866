package org.limpetvale.entry.upstream;

import org.limpetvale.core.result.Refusal;
import org.limpetvale.wire.RunEvent;

/** An update from an attempt, as returned by {@link RemoteAttempt#next}. */
public sealed interface AttemptUpdate {
  /** The next event from the sidecar. */
  record SidecarEvent(RunEvent event) implements AttemptUpdate {}

  /** No update arrived before the timeout. */
  record Idle() implements AttemptUpdate {}

  /** The connection was lost and could not be resumed in time. */
  record ConnectionLost(String detail) implements AttemptUpdate {}

  /** The request was stopped on this entry. */
  record Stopped(Refusal refusal) implements AttemptUpdate {}
}
