package org.limpetvale.entry.upstream;

import org.limpetvale.core.result.Refusal;
import org.limpetvale.wire.RunEvent;

/** What comes next from an attempt. */
public sealed interface Next {
  /** An event of the sidecar, in order. */
  record Event(RunEvent event) implements Next {}

  /** Nothing within the time asked for. */
  record Idle() implements Next {}

  /** The sidecar could not be reached again. */
  record Lost(String detail) implements Next {}

  /** The request was stopped here. */
  record Stopped(Refusal refusal) implements Next {}
}
