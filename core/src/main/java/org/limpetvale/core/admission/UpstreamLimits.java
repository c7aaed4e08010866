package org.limpetvale.core.admission;

/**
 * Admission limits of one upstream.
 *
 * @param capacity maximum number of concurrently running requests
 * @param queueLimit maximum number of waiting requests
 */
public record UpstreamLimits(int capacity, int queueLimit) {
  public UpstreamLimits {
    if (capacity < 1 || queueLimit < 1) {
      throw new IllegalArgumentException("capacity and queueLimit must be 1 or more");
    }
  }
}
