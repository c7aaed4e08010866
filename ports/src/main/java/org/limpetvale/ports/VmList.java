package org.limpetvale.ports;

import java.util.List;

/** The platform's list of VMs. It lags behind the actual state. */
public interface VmList {
  /** Reads the list. */
  ReadResult<List<Vm>> list();
}
