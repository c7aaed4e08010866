package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.limpetvale.core.time.TimerService;

/**
 * Tracks whether the upstream is up.
 *
 * <p>A broken connection or repeated failed health checks mark the upstream as down until a health
 * check succeeds. This keeps requests away from an upstream that has just crashed, and keeps a
 * crash from being attributed to a request that started after it.
 */
final class UpstreamState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 200;
  private static final long TICKS_PER_CHECK_WHILE_UP = 5;
  private static final int FAILED_CHECKS_FOR_DOWN = 2;
  private static final long UP = 0;

  private final BooleanSupplier healthCheck;
  private final TimerService timer;
  private final AtomicLong downSinceMillis = new AtomicLong(UP);
  private final List<Runnable> downListeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> upListeners = new CopyOnWriteArrayList<>();
  private int failedChecks;
  private long ticks;

  UpstreamState(BooleanSupplier healthCheck, TimerService timer) {
    this.healthCheck = Objects.requireNonNull(healthCheck, "healthCheck is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    timer.every(TICK_MILLIS, this::tick);
  }

  /** Adds listeners that are called when the upstream goes down and when it comes back up. */
  void subscribe(Runnable down, Runnable up) {
    downListeners.add(Objects.requireNonNull(down, "down is null"));
    upListeners.add(Objects.requireNonNull(up, "up is null"));
  }

  boolean isUp() {
    return downSinceMillis.get() == UP;
  }

  /** Marks the upstream as down until a health check succeeds. */
  void markDown() {
    long nowMillis = timer.nowMillis();
    if (downSinceMillis.compareAndSet(UP, nowMillis == UP ? 1 : nowMillis)) {
      downListeners.forEach(Runnable::run);
    }
  }

  /** Runs a health check and marks the upstream as up if it succeeds; returns the result. */
  boolean checkHealth() {
    if (!healthCheck.getAsBoolean()) {
      return false;
    }
    if (downSinceMillis.getAndSet(UP) != UP) {
      upListeners.forEach(Runnable::run);
    }
    return true;
  }

  /**
   * Returns whether a request that started at the given time can have caused the upstream to go
   * down. While the upstream is up, any request can.
   *
   * @param startedMillis start of the request on the monotonic clock, in milliseconds
   */
  boolean mayHaveCaused(long startedMillis) {
    long crashedMillis = downSinceMillis.get();
    return crashedMillis == UP || startedMillis <= crashedMillis;
  }

  private void tick() {
    ticks++;
    if (isUp() && ticks % TICKS_PER_CHECK_WHILE_UP != 0) {
      return;
    }
    boolean healthy = checkHealth();
    failedChecks = healthy ? 0 : failedChecks + 1;
    if (failedChecks >= FAILED_CHECKS_FOR_DOWN && isUp()) {
      logger.atWarning().log("the upstream does not answer its health check");
      markDown();
    }
  }
}
