package org.limpetvale.forward.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;

/** Timer service whose tasks run on a Netty event loop. */
public final class EventLoopTimer implements TimerService {
  private static final double JITTER = 0.1;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;
  private final EventLog log;

  private EventLoopTimer(EventLoop loop, EventLog log) {
    this.loop = Objects.requireNonNull(loop, "loop is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Creates a timer service for an event loop. */
  public static EventLoopTimer of(EventLoop loop, EventLog log) {
    return new EventLoopTimer(loop, log);
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
    throw new UnsupportedOperationException("the event loop must not block");
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    PeriodicTask repeated = new PeriodicTask(periodMillis, task);
    repeated.schedule();
    return repeated;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    Future<?> scheduled = loop.schedule(() -> runLogged(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | StackOverflowError e) {
      log.stateChange("timer_task_failed", EventLog.field("cause", e.toString()));
    }
  }

  private final class PeriodicTask implements Subscription {
    private final long periodMillis;
    private final Runnable task;
    private boolean cancelled;

    PeriodicTask(long periodMillis, Runnable task) {
      this.periodMillis = periodMillis;
      this.task = task;
    }

    void schedule() {
      double factor = 1 + JITTER * (2 * ThreadLocalRandom.current().nextDouble() - 1);
      loop.schedule(this::run, Math.round(periodMillis * factor), TimeUnit.MILLISECONDS);
    }

    private void run() {
      if (cancelled) {
        return;
      }
      try {
        runLogged(task);
      } finally {
        schedule();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
