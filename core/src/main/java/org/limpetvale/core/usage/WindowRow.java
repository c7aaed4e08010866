package org.limpetvale.core.usage;

import java.util.Map;
import java.util.Objects;

/**
 * A sealed window: its figures never change.
 *
 * @param window number of the window: time of day divided by the window's length
 * @param token token of the seal, which resolves a lost answer
 * @param figures figures by workspace
 * @param reported whether every report has been taken
 */
public record WindowRow(
    long window, String token, Map<String, UsageFigures> figures, boolean reported) {
  public WindowRow {
    Objects.requireNonNull(token, "token is null");
    figures = Map.copyOf(Objects.requireNonNull(figures, "figures is null"));
  }

  /** Returns this window with its reports taken. */
  public WindowRow asReported() {
    return new WindowRow(window, token, figures, true);
  }
}
