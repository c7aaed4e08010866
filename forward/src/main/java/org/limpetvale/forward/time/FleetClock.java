package org.limpetvale.forward.time;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;

/**
 * Time of day that all entries agree on even if the wall clocks of some VMs are wrong.
 *
 * <p>It is based on the store's monotonic clock. Each entry determines the offset of its wall clock
 * from that clock once, at the first response of the store, and the median of all entries' offsets
 * is used, so later steps of this VM's wall clock have no effect. Between responses, the VM's
 * monotonic clock advances the time.
 */
public final class FleetClock {
  /** Difference above which one of two clocks is considered to have jumped. */
  private static final long MAX_JUMP_MILLIS = 1_000;

  private final TimerService timer;
  private boolean synced;
  private long storeAtSyncMillis;
  private long monotonicAtSyncMillis;
  private long wallAtSyncMillis;
  private long offsetMillis;
  private List<Long> peerOffsets = List.of();

  /** Difference between the last median and this entry's own offset. */
  private long correctionMillis;

  private FleetClock(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Creates a clock that returns this VM's wall clock time until the store's first response. */
  public static FleetClock of(TimerService timer) {
    return new FleetClock(timer);
  }

  /**
   * Synchronizes with the store's monotonic clock.
   *
   * @param storeMillis reading of the store's clock in an answer that has just been received
   * @param sent when its call was sent; an answer that took long or that a suspension of the VM
   *     delayed tells an old reading and is not used
   */
  public void sync(long storeMillis, Moment sent) {
    Moment now = Moment.now(timer);
    long roundTripMillis = now.monotonicMillis() - sent.monotonicMillis();
    if (roundTripMillis <= MAX_JUMP_MILLIS
        && Math.abs(now.driftSinceMillis(sent)) <= MAX_JUMP_MILLIS) {
      sync(storeMillis);
    }
  }

  private void sync(long storeMillis) {
    long monotonicMillis = timer.nowMillis();
    long wallMillis = timer.wallMillis();
    if (!synced) {
      offsetMillis = wallMillis - storeMillis;
    } else {
      long elapsed = monotonicMillis - monotonicAtSyncMillis;
      long jump = storeMillis - storeAtSyncMillis - elapsed;
      long wallJump = wallMillis - wallAtSyncMillis - elapsed;
      boolean vmWasSuspended = Math.abs(wallJump - jump) < MAX_JUMP_MILLIS;
      if (Math.abs(jump) > MAX_JUMP_MILLIS && !vmWasSuspended) {
        offsetMillis -= jump;
      }
    }
    synced = true;
    storeAtSyncMillis = storeMillis;
    monotonicAtSyncMillis = monotonicMillis;
    wallAtSyncMillis = wallMillis;
  }

  /**
   * Sets the offsets determined by the other entries, in milliseconds. Without any, as just after
   * the store's clock may have gone back, the difference between this entry's offset and the last
   * median stays.
   */
  public void setPeerOffsets(Collection<Long> offsets) {
    peerOffsets = List.copyOf(offsets);
    if (!offsets.isEmpty()) {
      correctionMillis = medianOffset() - offsetMillis;
    }
  }

  /** Returns the offset determined by this entry; 0 before the store's first response. */
  public long ownOffsetMillis() {
    return offsetMillis;
  }

  /** Returns the time of day in milliseconds since the epoch. */
  public long millis() {
    if (!synced) {
      return timer.wallMillis();
    }
    long store = storeAtSyncMillis + timer.nowMillis() - monotonicAtSyncMillis;
    return store + medianOffset();
  }

  private long medianOffset() {
    if (peerOffsets.isEmpty()) {
      return offsetMillis + correctionMillis;
    }
    List<Long> sorted =
        Stream.concat(Stream.of(offsetMillis), peerOffsets.stream()).sorted().toList();
    return sorted.get((sorted.size() - 1) / 2);
  }
}
