package org.limpetvale.ports.time;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.limpetvale.core.time.TimerService;

/** Schedules timers on one platform thread and runs their tasks on virtual threads. */
public final class ThreadTimerService implements TimerService, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double JITTER_SHARE = 0.2;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("timer").factory());

  private ThreadTimerService() {}

  /** Returns a running timer service. */
  public static ThreadTimerService of() {
    return new ThreadTimerService();
  }

  @Override
  public long nowMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public boolean sleep(long millis) {
    try {
      Thread.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    AtomicBoolean cancelled = new AtomicBoolean();
    schedule(jittered(periodMillis), () -> repeat(periodMillis, task, cancelled));
    return () -> cancelled.set(true);
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    AtomicBoolean cancelled = new AtomicBoolean();
    schedule(
        delayMillis,
        () -> {
          if (!cancelled.get()) {
            runLogged(task);
          }
        });
    return () -> cancelled.set(true);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  private void repeat(long periodMillis, Runnable task, AtomicBoolean cancelled) {
    if (cancelled.get()) {
      return;
    }
    runLogged(task);
    schedule(jittered(periodMillis), () -> repeat(periodMillis, task, cancelled));
  }

  private void schedule(long delayMillis, Runnable task) {
    if (scheduler.isShutdown()) {
      return;
    }
    scheduler.schedule(() -> Thread.ofVirtual().start(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("timer task failed");
    }
  }

  private static long jittered(long periodMillis) {
    double factor = 1 + JITTER_SHARE * (2 * ThreadLocalRandom.current().nextDouble() - 1);
    return Math.max(1, Math.round(periodMillis * factor));
  }
}
