package org.limpetvale.ports;

import java.util.List;
import org.limpetvale.core.lease.OrderRow;

/** The platform's interface that starts and stops upstreams by availability zone. */
public interface PowerInterface {

  /**
   * An upstream that can be started or stopped.
   *
   * @param vm name of the VM
   * @param pool model or service that it serves
   * @param running whether it runs
   */
  record Unit(String vm, String pool, boolean running) {}

  /** The answer to an order. */
  sealed interface Answer {
    /** The order was taken. */
    record Taken() implements Answer {}

    /** The order was refused, such as for an old fencing number. */
    record Refused(String detail) implements Answer {}

    /** It is not known whether the order was taken. */
    record Unknown(String detail) implements Answer {}
  }

  /** Reads the upstreams of a zone. */
  Read<List<Unit>> units(String zone);

  /**
   * Sends an order once.
   *
   * @param zone availability zone
   * @param order the claimed order
   */
  Answer send(String zone, OrderRow order);
}
