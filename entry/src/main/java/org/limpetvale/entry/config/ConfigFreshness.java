package org.limpetvale.entry.config;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.time.TimerService;

/**
 * Whether the configuration in force is known to be current.
 *
 * <p>A read of the table confirms it, or a peer that has confirmed the same version. While the
 * table is out for everyone nobody can commit a change, so an entry goes on as long as it reaches
 * its peers and none of them has a newer confirmation.
 */
public final class ConfigFreshness {
  /** Age of the last confirmation beyond which keyed routes depend on the peers. */
  static final long MAX_AGE_MILLIS = 4000;

  private final TimerService timer;
  private final AtomicLong confirmedMillis;
  private final AtomicLong peerUnreachableMillis;
  private volatile boolean loaded;

  private ConfigFreshness(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.confirmedMillis = new AtomicLong(timer.nowMillis() - MAX_AGE_MILLIS * 1000);
    this.peerUnreachableMillis = new AtomicLong(timer.nowMillis() - MAX_AGE_MILLIS * 1000);
  }

  /** Returns a state that nothing has confirmed yet. */
  public static ConfigFreshness of(TimerService timer) {
    return new ConfigFreshness(timer);
  }

  /** Notes that the configuration was current at a time, in milliseconds. */
  void recordConfirmation(long atMillis) {
    loaded = true;
    confirmedMillis.accumulateAndGet(atMillis, Math::max);
  }

  /** Notes that a listed peer could not be reached and may be able to commit. */
  void recordUnreachablePeer() {
    peerUnreachableMillis.accumulateAndGet(timer.nowMillis(), Math::max);
  }

  /** Notes that a configuration was taken from a peer. */
  void recordPeerLoad() {
    loaded = true;
  }

  /** Returns the age of the last confirmation, in milliseconds. */
  public long ageMillis() {
    return timer.nowMillis() - confirmedMillis.get();
  }

  /** Tells whether keyed routes may be served. */
  public boolean mayServeKeyedRoutes() {
    if (!loaded) {
      return false;
    }
    return ageMillis() <= MAX_AGE_MILLIS
        || timer.nowMillis() - peerUnreachableMillis.get() > MAX_AGE_MILLIS;
  }
}
