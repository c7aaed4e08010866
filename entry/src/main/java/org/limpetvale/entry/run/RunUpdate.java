package org.limpetvale.entry.run;

import org.limpetvale.core.result.Refusal;

/** What comes next from a running model request. */
public sealed interface RunUpdate {
  /** Text for the caller. */
  record Text(String text) implements RunUpdate {}

  /** The answer is whole. */
  record Done(int promptTokens, int completionTokens, int cachedTokens, String finishReason)
      implements RunUpdate {}

  /** The request has ended without a whole answer. */
  record Refused(Refusal refusal) implements RunUpdate {}

  /** Nothing within the time asked for. */
  record Idle() implements RunUpdate {}
}
