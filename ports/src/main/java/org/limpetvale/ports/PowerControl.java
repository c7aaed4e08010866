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
   * @param running whether it runs
   */
  record ManagedUpstream(String vm, String pool, boolean running) {}

  /** The answer to an order. */
  sealed interface OrderResult {
    /** The order was taken. */
    record Accepted() implements OrderResult {}

    /** The order was refused, such as for an old fencing number. */
    record Refused(String detail) implements OrderResult {}

    /** It is not known whether the order was taken. */
    record Unknown(String detail) implements OrderResult {}
  }

  /** Reads the upstreams of a zone. */
  ReadResult<List<ManagedUpstream>> upstreams(String zone);

  /**
   * Sends an order once.
   *
   * @param zone availability zone
   * @param order the claimed order
   */
  OrderResult send(String zone, OrderRow order);
}
