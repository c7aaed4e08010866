package org.limpetvale.entry.control;

import java.util.Objects;

/**
 * A request of an operator for one upstream, stored in the table until it is executed.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param action requested action
 * @param author operator who made the request
 */
public record OperatorRequest(String vm, String zone, Action action, String author) {
  /** Key prefix of the rows of operator requests. */
  public static final String PREFIX = "wishes/";

  /** Actions that an operator can request. */
  public enum Action {
    DRAIN,
    UNDRAIN,
    START,
    STOP
  }

  public OperatorRequest {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(zone, "zone is null");
    Objects.requireNonNull(action, "action is null");
    Objects.requireNonNull(author, "author is null");
  }

  /** Returns the row key for a VM in a zone. */
  public static String key(String zone, String vm) {
    return PREFIX + zone + "/" + vm;
  }
}
