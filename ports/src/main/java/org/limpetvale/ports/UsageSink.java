package org.limpetvale.ports;

import org.limpetvale.core.usage.UsageFigures;

/** The platform's interface that takes usage reports. */
public interface UsageSink {
  /**
   * Sends one report, which the receiver takes once by tenant and window.
   *
   * @param workspace the tenant
   * @param window number of the window
   * @param figures the sealed figures
   * @return whether the receiver has confirmed it
   */
  boolean report(String workspace, long window, UsageFigures figures);
}
