package org.limpetvale.core.time;

/** Provides clocks, sleeping and timers. */
public interface TimerService {

  /** A handle to cancel a timer. */
  interface Subscription {
    /** Cancels the timer; a run that has started completes. */
    void cancel();
  }

  /** Returns monotonic time in milliseconds; only differences are meaningful. */
  long nowMillis();

  /** Returns wall-clock time in milliseconds since the epoch, for windows and records. */
  long wallMillis();

  /**
   * Blocks the calling thread.
   *
   * @param millis duration in milliseconds
   * @return false if the thread was interrupted
   */
  boolean sleep(long millis);

  /**
   * Runs a task periodically, each time a jittered period after the end of the previous run.
   *
   * @param periodMillis mean period in milliseconds
   * @param task task to run; exceptions are logged and do not stop the timer
   * @return a handle to cancel the timer
   */
  Subscription every(long periodMillis, Runnable task);

  /**
   * Runs a task once.
   *
   * @param delayMillis delay in milliseconds
   * @param task task to run
   * @return a handle to cancel the timer
   */
  Subscription after(long delayMillis, Runnable task);
}
