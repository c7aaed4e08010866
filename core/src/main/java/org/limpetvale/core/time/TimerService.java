package org.limpetvale.core.time;

/** Monotonic time and timers that parts subscribe to. */
public interface TimerService {

  /** Stops a timer. */
  interface Subscription {
    /** Stops the timer; a run that has begun is finished. */
    void cancel();
  }

  /** Returns monotonic time in milliseconds; only differences have a meaning. */
  long nowMillis();

  /** Returns the time of day in milliseconds since the epoch, for windows and records. */
  long wallMillis();

  /**
   * Waits.
   *
   * @param millis how long, in milliseconds
   * @return false when the wait was interrupted
   */
  boolean sleep(long millis);

  /**
   * Runs a task again and again, each time a jittered period after the end of the last run.
   *
   * @param periodMillis mean period in milliseconds
   * @param task the task; what it throws is logged and does not stop the timer
   * @return the subscription
   */
  Subscription every(long periodMillis, Runnable task);

  /**
   * Runs a task once.
   *
   * @param delayMillis delay in milliseconds
   * @param task the task
   * @return the subscription
   */
  Subscription after(long delayMillis, Runnable task);
}
