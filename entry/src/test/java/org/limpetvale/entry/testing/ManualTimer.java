package org.limpetvale.entry.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetvale.core.time.TimerService;

/** The timers and the clock of one process, moved by hand. */
public final class ManualTimer implements TimerService {
  private final List<Task> tasks = new ArrayList<>();
  private long nowMillis;

  /** Creates a clock that shows a time, in milliseconds. */
  public ManualTimer(long nowMillis) {
    this.nowMillis = nowMillis;
  }

  private static final class Task {
    private final long periodMillis;
    private final Runnable action;
    private long dueAtMillis;

    Task(long periodMillis, Runnable action, long dueMillis) {
      this.periodMillis = periodMillis;
      this.action = action;
      this.dueAtMillis = dueMillis;
    }
  }

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public long wallMillis() {
    return nowMillis;
  }

  @Override
  public boolean sleep(long millis) {
    nowMillis += millis;
    return true;
  }

  @Override
  public Subscription every(long periodMillis, Runnable action) {
    Task task = new Task(periodMillis, action, nowMillis + periodMillis);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  @Override
  public Subscription after(long delayMillis, Runnable action) {
    Task task = new Task(0, action, nowMillis + delayMillis);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  /** Lets time pass without running anything, as for a frozen process. */
  public void freeze(long millis) {
    nowMillis += millis;
  }

  /** Lets time pass and runs what has come due. */
  public void advance(long millis) {
    nowMillis += millis;
    List<Task> due =
        tasks.stream()
            .filter(task -> task.dueAtMillis <= nowMillis)
            .sorted(Comparator.comparingLong(task -> task.dueAtMillis))
            .toList();
    for (Task task : due) {
      if (task.periodMillis == 0) {
        tasks.remove(task);
      } else {
        task.dueAtMillis = nowMillis + task.periodMillis;
      }
      task.action.run();
    }
  }
}
