package org.limpetvale.entry.control;

import java.util.Objects;

/**
 * An operator's wish for one upstream, kept in the table until it is carried out.
 *
 * @param vm the VM
 * @param zone its availability zone
 * @param action what the operator wants
 * @param author the operator
 */
public record OperatorRequest(String vm, String zone, Action action, String author) {
  /** Prefix of the rows of wishes. */
  public static final String PREFIX = "wishes/";

  /** What an operator may want. */
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

  /** Returns the key of the row for a VM of a zone. */
  public static String key(String zone, String vm) {
    return PREFIX + zone + "/" + vm;
  }
}
