package org.limpetvale.ports;

import java.util.List;
import org.limpetvale.core.lease.OrderRow;

/** The platform's interface that starts and stops upstreams by availability zone. */
public interface PowerControl {

  /**
   * An upstream that can be started or stopped.
   *
   * @param vm name of the VM
   * @param pool model or service that it serves
   * @param running whether it is running
   */
  record ManagedUpstream(String vm, String pool, boolean running) {}

  /** The answer to an order. */
  sealed interface OrderResult {
    /** The order was accepted. */
    record Accepted() implements OrderResult {}

    /** The order was refused, for example because of an outdated fencing token. */
    record Refused(String detail) implements OrderResult {}

    /** The answer was lost; the order may have been accepted. */
    record Unknown(String detail) implements OrderResult {}
  }

  /** Reads the upstreams of an availability zone. */
  ReadResult<List<ManagedUpstream>> upstreams(String zone);

  /**
   * Sends an order once, without retries.
   *
   * @param zone availability zone
   * @param order the claimed order
   */
  OrderResult send(String zone, OrderRow order);
}
