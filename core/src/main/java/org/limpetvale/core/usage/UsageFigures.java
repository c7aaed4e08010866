package org.limpetvale.core.usage;

/**
 * Sums of usage.
 *
 * @param promptTokens tokens of prompts
 * @param completionTokens tokens delivered to callers
 * @param calls calls of models and services
 */
public record UsageFigures(long promptTokens, long completionTokens, long calls) {
  /** No usage. */
  public static final UsageFigures NONE = new UsageFigures(0, 0, 0);

  /** Returns the sum of two figures. */
  public UsageFigures plus(UsageFigures other) {
    return new UsageFigures(
        promptTokens + other.promptTokens,
        completionTokens + other.completionTokens,
        calls + other.calls);
  }
}
