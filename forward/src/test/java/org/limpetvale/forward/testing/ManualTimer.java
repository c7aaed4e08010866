package org.limpetvale.forward.testing;

import java.util.PriorityQueue;
import org.limpetvale.core.time.TimerService;

/** Time that tests move on by themselves. */
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

  /** Moves time on and runs what is due on the way. */
  public void advance(long millis) {
    long end = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task task = tasks.poll();
      nowMillis = Math.max(nowMillis, task.atMillis());
      task.run().run();
    }
    nowMillis = end;
  }

  /** Moves the time of day alone. */
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
    throw new UnsupportedOperationException("tests do not wait");
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
