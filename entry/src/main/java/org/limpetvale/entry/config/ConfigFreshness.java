package org.limpetvale.entry.config;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.time.TimerService;

/**
 * Tracks whether the current configuration is known to be up to date.
 *
 * <p>The configuration is confirmed by a read of the table or by a peer that has confirmed the same
 * version. While the table is unavailable to every entry, no change can be committed. An entry
 * therefore keeps serving without a recent confirmation as long as it reaches its peers and none of
 * them has a newer confirmation.
 */
public final class ConfigFreshness {
  /**
   * Age of the last confirmation above which keyed routes are served only while no listed peer is
   * unreachable.
   */
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

  /** Returns the state of a configuration that has not been confirmed yet. */
  public static ConfigFreshness of(TimerService timer) {
    return new ConfigFreshness(timer);
  }

  /** Records that the configuration was current at the given time. */
  void recordConfirmation(long confirmationMillis) {
    loaded = true;
    confirmedMillis.accumulateAndGet(confirmationMillis, Math::max);
  }

  /** Records that a listed peer was unreachable and may still be able to commit changes. */
  void recordUnreachablePeer() {
    peerUnreachableMillis.accumulateAndGet(timer.nowMillis(), Math::max);
  }

  /** Records that a configuration was received from a peer. */
  void recordPeerLoad() {
    loaded = true;
  }

  /** Returns the age of the last confirmation, in milliseconds. */
  public long ageMillis() {
    return timer.nowMillis() - confirmedMillis.get();
  }

  /** Returns whether keyed routes may be served. */
  public boolean mayServeKeyedRoutes() {
    if (!loaded) {
      return false;
    }
    return ageMillis() <= MAX_AGE_MILLIS
        || timer.nowMillis() - peerUnreachableMillis.get() > MAX_AGE_MILLIS;
  }
}
