package org.limpetvale.core.config;

/**
 * A validation error in an operator's input.
 *
 * @param field path of the invalid field
 * @param value the rejected value
 * @param allowed description of the allowed values
 */
public record Fault(String field, String value, String allowed) {
  /** Returns a one-line, human-readable description of the fault. */
  public String message() {
    return field + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
