package org.limpetvale.forward.testing;

import java.util.PriorityQueue;
import org.limpetvale.core.time.TimerService;

/** A timer service whose time only advances when the test says so. */
public final class ManualTimer implements TimerService {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMillis = 1_000_000;
  private long wallOffsetMillis = 1_700_000_000_000L;
  private long serial;

  private record Task(long atMillis, long serial, Runnable run) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(serial, other.serial);
    }
  }

  /** Advances the monotonic and wall clocks and runs the tasks that become due, in order. */
  public void advance(long millis) {
    long end = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task task = tasks.poll();
      nowMillis = Math.max(nowMillis, task.atMillis());
      task.run().run();
    }
    nowMillis = end;
  }

  /** Steps the wall clock without advancing the monotonic clock. */
  public void stepWall(long millis) {
    wallOffsetMillis += millis;
  }

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public long wallMillis() {
    return nowMillis + wallOffsetMillis;
  }

  @Override
  public boolean sleep(long millis) {
    throw new UnsupportedOperationException("blocking waits are not supported");
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    boolean[] cancelled = new boolean[1];
    schedule(periodMillis, () -> repeat(periodMillis, task, cancelled));
    return () -> cancelled[0] = true;
  }

  private void repeat(long periodMillis, Runnable task, boolean[] cancelled) {
    if (!cancelled[0]) {
      task.run();
      schedule(periodMillis, () -> repeat(periodMillis, task, cancelled));
    }
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    boolean[] cancelled = new boolean[1];
    schedule(
        delayMillis,
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        });
    return () -> cancelled[0] = true;
  }

  private void schedule(long delayMillis, Runnable task) {
    tasks.add(new Task(nowMillis + delayMillis, ++serial, task));
  }
}
