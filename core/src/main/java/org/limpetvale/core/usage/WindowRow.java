package org.limpetvale.core.usage;

import java.util.Map;
import java.util.Objects;

/**
 * A usage window closed to further batches; once sealed, its figures never change.
 *
 * @param window number of the window: wall-clock time divided by the window length
 * @param token token of the write, used to resolve a write whose answer was lost
 * @param sealed whether the figures are final
 * @param figures figures by workspace; empty before the window is sealed
 */
public record WindowRow(
    long window, String token, boolean sealed, Map<String, UsageFigures> figures) {
  public WindowRow {
    Objects.requireNonNull(token, "token is null");
    figures = Map.copyOf(Objects.requireNonNull(figures, "figures is null"));
  }

  /** Returns a closed window without figures. */
  public static WindowRow closed(long window, String token) {
    return new WindowRow(window, token, false, Map.of());
  }

  /** Returns a sealed window with its final figures. */
  public static WindowRow sealed(long window, String token, Map<String, UsageFigures> figures) {
    return new WindowRow(window, token, true, figures);
  }
}
