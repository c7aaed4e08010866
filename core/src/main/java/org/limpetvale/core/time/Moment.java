package org.limpetvale.core.time;

import java.util.Objects;

/**
 * A moment on both clocks of a VM.
 *
 * <p>The monotonic clock stands while the VM is suspended, the time of day goes on; their
 * difference tells of a suspension, or of a step of the time of day.
 *
 * @param monotonicMillis monotonic time
 * @param wallMillis time of day since the epoch
 */
public record Moment(long monotonicMillis, long wallMillis) {
  /** Returns the moment that it is now. */
  public static Moment now(TimerService timer) {
    Objects.requireNonNull(timer, "timer is null");
    return new Moment(timer.nowMillis(), timer.wallMillis());
  }

  /** Returns how far the two clocks have moved apart since another moment. */
  public long driftSinceMillis(Moment other) {
    Objects.requireNonNull(other, "other is null");
    return wallMillis - other.wallMillis - (monotonicMillis - other.monotonicMillis);
  }
}
