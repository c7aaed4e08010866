package org.limpetvale.entry.upstream;

import org.limpetvale.core.result.Refusal;
import org.limpetvale.wire.RunEvent;

/** What comes next from an attempt. */
public sealed interface AttemptUpdate {
  /** An event of the sidecar, in order. */
  record SidecarEvent(RunEvent event) implements AttemptUpdate {}

  /** Nothing within the time asked for. */
  record Idle() implements AttemptUpdate {}

  /** The sidecar could not be reached again. */
  record ConnectionLost(String detail) implements AttemptUpdate {}

  /** The request was stopped here. */
  record Stopped(Refusal refusal) implements AttemptUpdate {}
}
