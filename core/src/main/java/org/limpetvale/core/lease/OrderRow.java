package org.limpetvale.core.lease;

import java.util.Objects;

/**
 * The last order of a duty, claimed in the table before it is sent.
 *
 * @param duty the duty, such as the power orders of a zone
 * @param epoch fencing number under which it was claimed
 * @param orderId token of the order
 * @param sender process that sends it
 * @param action what the order asks for
 * @param vm the VM it is about
 * @param state how far it has come
 */
public record OrderRow(
    String duty, long epoch, String orderId, String sender, Action action, String vm, State state) {

  /** What an order asks of the platform: to start or stop an upstream, or to take usage reports. */
  public enum Action {
    START,
    STOP,
    REPORT
  }

  /** How far an order has come. */
  public enum State {
    /** Claimed; it may be in flight. */
    SENDING,
    /** Answered. */
    DONE,
    /** Its answer was lost and its sender has stopped sending it. */
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

  /** Returns this order in another state. */
  public OrderRow withState(State next) {
    return new OrderRow(duty, epoch, orderId, sender, action, vm, next);
  }

  /**
   * Tells whether a process may claim the next order of the duty.
   *
   * @param claimant the process
   * @param senderGone whether the sender of this order is known to be gone for good
   */
  public boolean allowsNext(String claimant, boolean senderGone) {
    return state != State.SENDING || sender.equals(claimant) || senderGone;
  }
}
