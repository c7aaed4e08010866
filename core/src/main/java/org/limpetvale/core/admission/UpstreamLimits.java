package org.limpetvale.core.admission;

/**
 * Limits of one upstream.
 *
 * @param capacity requests that run at the same time
 * @param queueLimit requests that wait at the same time
 */
public record UpstreamLimits(int capacity, int queueLimit) {
  public UpstreamLimits {
    if (capacity < 1 || queueLimit < 1) {
      throw new IllegalArgumentException("capacity and queueLimit must be 1 or more");
    }
  }
}
