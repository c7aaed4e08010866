package org.limpetvale.core.usage;

/**
 * Usage totals.
 *
 * @param promptTokens number of prompt tokens
 * @param completionTokens number of tokens delivered to clients
 * @param calls number of calls to models and services
 */
public record UsageFigures(long promptTokens, long completionTokens, long calls) {
  /** No usage. */
  public static final UsageFigures NONE = new UsageFigures(0, 0, 0);

  /** Returns the sum of these and other totals. */
  public UsageFigures plus(UsageFigures other) {
    return new UsageFigures(
        promptTokens + other.promptTokens,
        completionTokens + other.completionTokens,
        calls + other.calls);
  }
}
