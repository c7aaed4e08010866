package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.limpetvale.core.time.TimerService;

/**
 * Whether the upstream is up.
 *
 * <p>A broken connection makes it count as down at once, until a health check succeeds; so nothing
 * is sent to an engine that has just crashed, and no request is taken for the cause of a crash that
 * came before it.
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

  UpstreamState(BooleanSupplier probe, TimerService timer) {
    this.healthCheck = Objects.requireNonNull(probe, "probe is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    timer.every(TICK_MILLIS, this::tick);
  }

  /** Calls listeners after each change. */
  void subscribe(Runnable down, Runnable up) {
    downListeners.add(Objects.requireNonNull(down, "down is null"));
    upListeners.add(Objects.requireNonNull(up, "up is null"));
  }

  boolean isUp() {
    return downSinceMillis.get() == UP;
  }

  /** Notes that a connection broke; the upstream counts as down until a health check succeeds. */
  void markDown() {
    long nowMillis = timer.nowMillis();
    if (downSinceMillis.compareAndSet(UP, nowMillis == UP ? 1 : nowMillis)) {
      downListeners.forEach(Runnable::run);
    }
  }

  /** Checks the health now; returns whether the upstream is up. */
  boolean checkHealth() {
    if (!healthCheck.getAsBoolean()) {
      return false;
    }
    if (downSinceMillis.getAndSet(UP) != UP) {
      upListeners.forEach(Runnable::run);
    }
    return true;
  }

  /** Tells whether work that began at a time can have caused the crash, in milliseconds. */
  boolean mayHaveCaused(long startedMillis) {
    long broken = downSinceMillis.get();
    return broken == UP || startedMillis <= broken;
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
