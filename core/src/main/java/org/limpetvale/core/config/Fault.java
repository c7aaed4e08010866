package org.limpetvale.core.config;

/**
 * A fault in operators' input.
 *
 * @param field path of the field
 * @param value the value found
 * @param allowed what is allowed
 */
public record Fault(String field, String value, String allowed) {
  /** Returns the fault as a line for people. */
  public String message() {
    return field + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
