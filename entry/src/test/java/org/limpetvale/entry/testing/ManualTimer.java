package org.limpetvale.entry.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetvale.core.time.TimerService;

/** A timer service of one process whose clock is advanced manually. */
public final class ManualTimer implements TimerService {
  private final List<Task> tasks = new ArrayList<>();
  private long nowMillis;

  /** Creates a timer service whose clock starts at the given time. */
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

  /** Advances the clock without running any task, as for a paused process. */
  public void freeze(long millis) {
    nowMillis += millis;
  }

  /** Advances the clock and runs the tasks that are due. */
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
