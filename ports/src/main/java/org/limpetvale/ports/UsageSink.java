package org.limpetvale.ports;

import org.limpetvale.core.usage.UsageFigures;

/** The platform's interface for usage reports. */
public interface UsageSink {
  /**
   * Sends one report. The receiver deduplicates reports by workspace and window.
   *
   * @param workspace name of the workspace
   * @param window number of the window
   * @param figures the sealed figures
   * @return whether the receiver has confirmed it
   */
  boolean report(String workspace, long window, UsageFigures figures);
}
