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
  private static final long PROBE_MILLIS = 200;
  private static final long ROUNDS_BETWEEN_PROBES_WHILE_UP = 5;
  private static final int FAILED_PROBES_FOR_DOWN = 2;
  private static final long UP = 0;

  private final BooleanSupplier probe;
  private final TimerService timer;
  private final AtomicLong brokenSinceMillis = new AtomicLong(UP);
  private final List<Runnable> onDown = new CopyOnWriteArrayList<>();
  private final List<Runnable> onUp = new CopyOnWriteArrayList<>();
  private int failedProbes;
  private long rounds;

  UpstreamState(BooleanSupplier probe, TimerService timer) {
    this.probe = Objects.requireNonNull(probe, "probe is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    timer.every(PROBE_MILLIS, this::round);
  }

  /** Calls listeners after each change. */
  void subscribe(Runnable down, Runnable up) {
    onDown.add(Objects.requireNonNull(down, "down is null"));
    onUp.add(Objects.requireNonNull(up, "up is null"));
  }

  boolean isUp() {
    return brokenSinceMillis.get() == UP;
  }

  /** Notes that a connection broke; the upstream counts as down until a health check succeeds. */
  void broke() {
    long nowMillis = timer.nowMillis();
    if (brokenSinceMillis.compareAndSet(UP, nowMillis == UP ? 1 : nowMillis)) {
      onDown.forEach(Runnable::run);
    }
  }

  /** Checks the health now; returns whether the upstream is up. */
  boolean check() {
    if (!probe.getAsBoolean()) {
      return false;
    }
    if (brokenSinceMillis.getAndSet(UP) != UP) {
      onUp.forEach(Runnable::run);
    }
    return true;
  }

  /** Tells whether work that began at a time can have caused the crash, in milliseconds. */
  boolean mayHaveCaused(long startedMillis) {
    long broken = brokenSinceMillis.get();
    return broken == UP || startedMillis <= broken;
  }

  private void round() {
    rounds++;
    if (isUp() && rounds % ROUNDS_BETWEEN_PROBES_WHILE_UP != 0) {
      return;
    }
    boolean healthy = check();
    failedProbes = healthy ? 0 : failedProbes + 1;
    if (failedProbes >= FAILED_PROBES_FOR_DOWN && isUp()) {
      logger.atWarning().log("the upstream does not answer its health check");
      broke();
    }
  }
}
