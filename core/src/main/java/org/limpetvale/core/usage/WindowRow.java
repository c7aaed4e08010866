package org.limpetvale.core.usage;

import java.util.Map;
import java.util.Objects;

/**
 * A window that takes no batches any more; once it is sealed its figures never change.
 *
 * @param window number of the window: time of day divided by the window's length
 * @param token token of the write, which resolves a lost answer
 * @param sealed whether the figures are final
 * @param figures figures by workspace; none before the window is sealed
 */
public record WindowRow(
    long window, String token, boolean sealed, Map<String, UsageFigures> figures) {
  public WindowRow {
    Objects.requireNonNull(token, "token is null");
    figures = Map.copyOf(Objects.requireNonNull(figures, "figures is null"));
  }

  /** Returns a window that takes no batches any more and has no figures yet. */
  public static WindowRow closed(long window, String token) {
    return new WindowRow(window, token, false, Map.of());
  }

  /** Returns a window with its final figures. */
  public static WindowRow sealed(long window, String token, Map<String, UsageFigures> figures) {
    return new WindowRow(window, token, true, figures);
  }
}
