package org.limpetvale.forward.time;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.limpetvale.core.time.TimerService;

/**
 * The time of day as the fleet agrees on it, also while the clocks of some VMs are wrong.
 *
 * <p>It runs on the store's steady clock. The difference between that and the time of day is noted
 * once, at the first answer of the store, and the median of what all entries noted is used; later
 * steps of this VM's clock have no effect. Between answers the VM's monotonic clock carries it on.
 */
public final class FleetClock {
  /** Difference above which two clocks are not thought to run on together. */
  private static final long JUMP_MILLIS = 1_000;

  private final TimerService timer;
  private boolean synced;
  private long storeAtSyncMillis;
  private long monotonicAtSyncMillis;
  private long wallAtSyncMillis;
  private long offsetMillis;
  private List<Long> othersOffsets = List.of();

  private FleetClock(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns a clock that shows this VM's time of day until the first answer of the store. */
  public static FleetClock of(TimerService timer) {
    return new FleetClock(timer);
  }

  /** Notes the store's steady clock as of now. */
  public void sync(long storeMillis) {
    long monotonicMillis = timer.nowMillis();
    long wallMillis = timer.wallMillis();
    if (!synced) {
      offsetMillis = wallMillis - storeMillis;
    } else {
      long elapsed = monotonicMillis - monotonicAtSyncMillis;
      long jump = storeMillis - storeAtSyncMillis - elapsed;
      long wallJump = wallMillis - wallAtSyncMillis - elapsed;
      boolean vmWasSuspended = Math.abs(wallJump - jump) < JUMP_MILLIS;
      if (Math.abs(jump) > JUMP_MILLIS && !vmWasSuspended) {
        offsetMillis -= jump;
      }
    }
    synced = true;
    storeAtSyncMillis = storeMillis;
    monotonicAtSyncMillis = monotonicMillis;
    wallAtSyncMillis = wallMillis;
  }

  /** Notes the differences that the other entries have noted. */
  public void setPeerOffsets(Collection<Long> offsets) {
    othersOffsets = List.copyOf(offsets);
  }

  /** Returns the difference that this entry has noted; 0 before the first answer of the store. */
  public long ownOffsetMillis() {
    return offsetMillis;
  }

  /** Returns the time of day in milliseconds since the epoch. */
  public long millis() {
    if (!synced) {
      return timer.wallMillis();
    }
    long store = storeAtSyncMillis + timer.nowMillis() - monotonicAtSyncMillis;
    return store + agreedOffset();
  }

  private long agreedOffset() {
    List<Long> sorted =
        Stream.concat(Stream.of(offsetMillis), othersOffsets.stream()).sorted().toList();
    return sorted.get((sorted.size() - 1) / 2);
  }
}
