package org.limpetvale.entry.run;

import org.limpetvale.core.result.Refusal;

/** An update from a running model request. */
public sealed interface RunUpdate {
  /** A piece of text for the caller. */
  record Text(String text) implements RunUpdate {}

  /** The answer is complete. */
  record Done(int promptTokens, int completionTokens, int cachedTokens, String finishReason)
      implements RunUpdate {}

  /** The request ended without a complete answer. */
  record Refused(Refusal refusal) implements RunUpdate {}

  /** No update arrived before the timeout. */
  record Idle() implements RunUpdate {}
}
