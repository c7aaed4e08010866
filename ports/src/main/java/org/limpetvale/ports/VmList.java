package org.limpetvale.ports;

import java.util.List;

/** The platform's list of VMs, which lags. */
public interface VmList {
  /** Reads the list. */
  ReadResult<List<Vm>> list();
}
