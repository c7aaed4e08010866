package org.limpetvale.core.admission;

/**
 * Limits of one upstream.
 *
 * @param capacity requests that run at the same time
 * @param queueLimit requests that wait at the same time
 */
public record Limits(int capacity, int queueLimit) {
  public Limits {
    if (capacity < 1 || queueLimit < 1) {
      throw new IllegalArgumentException("capacity and queueLimit must be 1 or more");
    }
  }
}
