package org.limpetvale.core.time;

import java.util.Objects;

/**
 * A point in time on both the monotonic clock and the wall clock of a VM.
 *
 * <p>The monotonic clock stops while the VM is suspended and the wall clock does not. Drift between
 * them indicates a suspension or a step of the wall clock.
 *
 * @param monotonicMillis monotonic time in milliseconds
 * @param wallMillis wall-clock time in milliseconds since the epoch
 */
public record Moment(long monotonicMillis, long wallMillis) {
  /** Returns the current moment. */
  public static Moment now(TimerService timer) {
    Objects.requireNonNull(timer, "timer is null");
    return new Moment(timer.nowMillis(), timer.wallMillis());
  }

  /**
   * Returns how far the wall clock has moved ahead of the monotonic clock since another moment, in
   * milliseconds.
   */
  public long driftSinceMillis(Moment other) {
    Objects.requireNonNull(other, "other is null");
    return wallMillis - other.wallMillis - (monotonicMillis - other.monotonicMillis);
  }
}
