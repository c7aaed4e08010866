package org.limpetvale.core.fleet;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest header
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first byte of a header to its end
 * @param idleTimeoutMillis longest time that a connection may stay idle
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits until a configuration is known. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
