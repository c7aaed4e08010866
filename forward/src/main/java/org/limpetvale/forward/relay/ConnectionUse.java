package org.limpetvale.forward.relay;

/**
 * The place of a request among those of its connection to an upstream.
 *
 * @param localPort the connection's port on this side, which the upstream sees too
 * @param requestNumber the number of the request on the connection, from 1
 */
record ConnectionUse(int localPort, int requestNumber) {
  /** Stands for a request that was not sent. */
  static final ConnectionUse NONE = new ConnectionUse(0, 0);
}
