package org.limpetvale.core.fleet;

/**
 * Size and time limits on requests from callers.
 *
 * @param maxHeaderBytes maximum size of the header section
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeoutMillis maximum time between the first and last byte of the header section
 * @param idleTimeoutMillis maximum idle time of a connection
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits that apply until a configuration has been read. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
