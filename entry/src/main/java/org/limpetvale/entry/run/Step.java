package org.limpetvale.entry.run;

import org.limpetvale.core.result.Refusal;

/** What comes next from a running model request. */
public sealed interface Step {
  /** Text for the caller. */
  record Text(String text) implements Step {}

  /** The answer is whole. */
  record Done(int promptTokens, int completionTokens, int cachedTokens, String reason)
      implements Step {}

  /** The request has ended without a whole answer. */
  record Refused(Refusal refusal) implements Step {}

  /** Nothing within the time asked for. */
  record Idle() implements Step {}
}
