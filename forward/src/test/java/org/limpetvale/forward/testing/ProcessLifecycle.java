package org.limpetvale.forward.testing;

import java.util.ArrayList;
import java.util.List;
import org.limpetvale.core.time.TimerService;

/** The life of one process in a test: it may be cut off, stand still, or be dead. */
public final class ProcessLifecycle {
  /** Whether the store refuses its calls. */
  public boolean storeUnreachable;

  /** Share of its writes whose answer is lost, half of them done only seconds later. */
  public double lostAnswerShare;

  private final List<Runnable> held = new ArrayList<>();
  private boolean frozen;
  private boolean dead;

  /** Whether the steady clock stands while the process does, as on a suspended VM. */
  private boolean clockStands;

  private long frozenAtMillis;
  private long standstillMillis;

  /** Runs something in the process: now, after its thaw, or never. */
  public void run(Runnable step) {
    if (dead) {
      return;
    }
    if (frozen) {
      held.add(step);
    } else {
      step.run();
    }
  }

  /** Lets the process stand still, while its clocks go on. */
  public void freeze() {
    frozen = true;
    clockStands = false;
  }

  /** Lets the process stand still with its steady clock, while the time of day goes on. */
  public void suspend(TimerService world) {
    frozen = true;
    clockStands = true;
    frozenAtMillis = world.nowMillis();
  }

  /** Lets a process that stood still go on with what came meanwhile. */
  public void thaw(TimerService world) {
    frozen = false;
    if (clockStands) {
      clockStands = false;
      standstillMillis += world.nowMillis() - frozenAtMillis;
    }
    List<Runnable> waiting = List.copyOf(held);
    held.clear();
    waiting.forEach(this::run);
  }

  /** Ends the process at once. */
  public void kill() {
    dead = true;
  }

  /** Tells whether it stands still. */
  public boolean isFrozen() {
    return frozen;
  }

  /** Tells whether it has ended. */
  public boolean isDead() {
    return dead;
  }

  /** Returns time as the process has it: its tasks do not run while it stands still or is dead. */
  public TimerService timer(TimerService world) {
    return new LivingTimer(world);
  }

  private final class LivingTimer implements TimerService {
    private final TimerService world;

    LivingTimer(TimerService world) {
      this.world = world;
    }

    @Override
    public long nowMillis() {
      long untilMillis = clockStands ? frozenAtMillis : world.nowMillis();
      return untilMillis - standstillMillis;
    }

    @Override
    public long wallMillis() {
      return world.wallMillis();
    }

    @Override
    public boolean sleep(long millis) {
      return world.sleep(millis);
    }

    @Override
    public Subscription every(long periodMillis, Runnable task) {
      return world.every(periodMillis, () -> ProcessLifecycle.this.run(task));
    }

    @Override
    public Subscription after(long delayMillis, Runnable task) {
      return world.after(delayMillis, () -> ProcessLifecycle.this.run(task));
    }
  }
}
