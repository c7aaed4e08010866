package org.limpetvale.forward.duty;

import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/** An entry in virtual time, across restarts of its process. */
abstract class SimulatedEntry {
  final String name;
  private final DutyProcess.Environment environment;
  private int boots;
  private DutyProcess process;
  private boolean running;
  private boolean storeDown;
  private boolean storeCut;

  SimulatedEntry(DutyProcess.Environment environment, String name) {
    this.environment = environment;
    this.name = name;
  }

  /** Creates what the simulation adds to a process that has just been started. */
  abstract void processStarted(String boot);

  /** Called just before a paused process continues. */
  void beforeThaw() {}

  /** Starts the entry's process. */
  final void boot() {
    String boot = "b" + ++boots;
    process = DutyProcess.start(environment, name, boot, life -> new NoDutyCalls(), () -> 0);
    applyStoreState();
    processStarted(boot);
    running = true;
  }

  final DutyProcess process() {
    return process;
  }

  final boolean isRunning() {
    return running;
  }

  final boolean serves() {
    return running && !process.life.isFrozen();
  }

  final void kill(long downMillis) {
    if (running) {
      running = false;
      process.life.kill();
      timer().after(downMillis, this::boot);
    }
  }

  final void stop(long downMillis) {
    if (serves()) {
      running = false;
      ProcessLifecycle ending = process.life;
      process.loop.stop().thenAccept(done -> ending.kill());
      timer().after(downMillis, this::boot);
    }
  }

  final void pause(long millis, boolean stopsClock) {
    if (serves()) {
      ProcessLifecycle life = process.life;
      if (stopsClock) {
        life.suspend(timer());
      } else {
        life.freeze();
      }
      timer()
          .after(
              millis,
              () -> {
                beforeThaw();
                life.thaw(timer());
              });
    }
  }

  /** Sets whether this entry alone cannot reach the store. */
  void setStoreUnreachable(boolean value) {
    storeCut = value;
    applyStoreState();
  }

  final boolean isStoreUnreachable() {
    return storeCut;
  }

  /** Sets whether the store is unavailable to all entries. */
  final void setStoreDown(boolean value) {
    storeDown = value;
    if (process != null) {
      applyStoreState();
    }
  }

  private void applyStoreState() {
    process.life.storeUnreachable = storeDown || storeCut;
  }

  private ManualTimer timer() {
    return environment.timer();
  }
}
