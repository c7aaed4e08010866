package org.limpetvale.entry;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/**
 * Settings of the control duties.
 *
 * @param leaseMillis duration of a lease, in milliseconds
 * @param usageWindowMillis length of a usage window, in milliseconds
 * @param usageFlushMillis interval between usage batches, in milliseconds
 * @param scaling whether upstreams are started and stopped automatically
 * @param startAboveLoad ratio of load to capacity above which an upstream is started
 * @param stopBelowLoad ratio of load to capacity below which an upstream may be stopped
 * @param stopAfterMillis time that a pool must stay below {@code stopBelowLoad} before an upstream
 *     is stopped, in milliseconds
 * @param leastPerZone minimum number of upstreams of a pool in a zone
 */
public record ControlSettings(
    @Min(500) @Max(600_000) long leaseMillis,
    @Min(500) @Max(86_400_000) long usageWindowMillis,
    @Min(100) @Max(60_000) long usageFlushMillis,
    boolean scaling,
    @DecimalMin("0.1") @DecimalMax("10") double startAboveLoad,
    @DecimalMin("0") @DecimalMax("1") double stopBelowLoad,
    @Min(0) @Max(86_400_000) long stopAfterMillis,
    @Min(0) @Max(1000) int leastPerZone) {

  /** Returns the default settings. */
  static ControlSettings standard() {
    return new ControlSettings(6000, 60_000, 2000, false, 0.8, 0.4, 120_000, 1);
  }
}
