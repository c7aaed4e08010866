package org.limpetvale.core.lease;

import java.util.Objects;

/**
 * The stored row of a duty's last order; an order is claimed by writing this row before it is sent.
 *
 * @param duty name of the duty, such as the power orders of an availability zone
 * @param epoch fencing token under which the order was claimed
 * @param orderId unique id of the order
 * @param sender process that sends the order
 * @param action requested action
 * @param vm VM to which the order applies
 * @param state delivery state of the order
 */
public record OrderRow(
    String duty, long epoch, String orderId, String sender, Action action, String vm, State state) {

  /** The requested action: start or stop an upstream, or accept usage reports. */
  public enum Action {
    START,
    STOP,
    REPORT
  }

  /** The delivery state of an order. */
  public enum State {
    /** The order is claimed and may be in flight. */
    SENDING,
    /** The response was received. */
    DONE,
    /** The response was lost and the sender has stopped retrying. */
    UNKNOWN
  }

  public OrderRow {
    Objects.requireNonNull(duty, "duty is null");
    Objects.requireNonNull(orderId, "orderId is null");
    Objects.requireNonNull(sender, "sender is null");
    Objects.requireNonNull(action, "action is null");
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(state, "state is null");
  }

  /** Returns this order with the given state. */
  public OrderRow withState(State next) {
    return new OrderRow(duty, epoch, orderId, sender, action, vm, next);
  }

  /**
   * Returns whether a process may claim the next order of the duty.
   *
   * @param claimant name of the process
   * @param senderGone whether the sender of this order is known to have terminated
   */
  public boolean allowsNext(String claimant, boolean senderGone) {
    return state != State.SENDING || sender.equals(claimant) || senderGone;
  }
}
