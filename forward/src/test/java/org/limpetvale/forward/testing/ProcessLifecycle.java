package org.limpetvale.forward.testing;

import java.util.ArrayList;
import java.util.List;
import org.limpetvale.core.time.TimerService;

/** The simulated lifecycle of a process: it can be disconnected, frozen, suspended or killed. */
public final class ProcessLifecycle {
  /** Whether the process cannot reach the store. */
  public boolean storeUnreachable;

  /**
   * Share of the process's writes whose response is lost; half of these are applied up to seconds
   * later.
   */
  public double lostAnswerShare;

  private final List<Runnable> pendingSteps = new ArrayList<>();
  private boolean frozen;
  private boolean dead;

  /** Whether the monotonic clock stops while the process is frozen, as on a suspended VM. */
  private boolean clockSuspended;

  private long frozenAtMillis;
  private long suspendedMillis;

  /** Runs a step of the process: immediately, after it thaws, or never if it is killed. */
  public void run(Runnable step) {
    if (dead) {
      return;
    }
    if (frozen) {
      pendingSteps.add(step);
    } else {
      step.run();
    }
  }

  /** Freezes the process while its clocks continue. */
  public void freeze() {
    frozen = true;
    clockSuspended = false;
  }

  /** Freezes the process and its monotonic clock while the wall clock continues. */
  public void suspend(TimerService world) {
    frozen = true;
    clockSuspended = true;
    frozenAtMillis = world.nowMillis();
  }

  /** Resumes a frozen process, which first runs the steps that arrived in the meantime. */
  public void thaw(TimerService world) {
    frozen = false;
    if (clockSuspended) {
      clockSuspended = false;
      suspendedMillis += world.nowMillis() - frozenAtMillis;
    }
    List<Runnable> waiting = List.copyOf(pendingSteps);
    pendingSteps.clear();
    waiting.forEach(this::run);
  }

  /** Kills the process immediately. */
  public void kill() {
    dead = true;
  }

  /** Returns whether the process is frozen. */
  public boolean isFrozen() {
    return frozen;
  }

  /** Returns whether the process was killed. */
  public boolean isDead() {
    return dead;
  }

  /**
   * Returns the process's own timer, whose tasks do not run while the process is frozen or dead.
   */
  public TimerService timer(TimerService world) {
    return new ProcessTimer(world);
  }

  private final class ProcessTimer implements TimerService {
    private final TimerService world;

    ProcessTimer(TimerService world) {
      this.world = world;
    }

    @Override
    public long nowMillis() {
      long untilMillis = clockSuspended ? frozenAtMillis : world.nowMillis();
      return untilMillis - suspendedMillis;
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
