package org.limpetvale.ports;

import java.util.List;

/** The platform's list of VMs, which lags. */
public interface VmList {
  /** Reads the list. */
  Read<List<Vm>> list();
}
