package org.limpetvale.forward.relay;

import java.util.OptionalLong;

/**
 * Decides which requests are still sent to upstreams while this entry stops.
 *
 * <p>Until the load balancer has deregistered the entry, a refused caller would only come back to
 * it, so every request is taken. After that only callers with an open connection send; what they
 * send is taken only if all the time that it may use ends before the entry does. Late in the stop
 * nothing is sent at all. Must only be used on the event loop.
 *
 * <p>Times are in milliseconds on a monotonic clock.
 */
final class PlannedStop {
  private OptionalLong signalMillis = OptionalLong.empty();
  private long deregisteredMillis = Long.MAX_VALUE;
  private long endMillis = Long.MAX_VALUE;
  private boolean sendingStopped;

  /**
   * Begins the stop.
   *
   * @param signal when this entry was told to stop
   * @param deregistered when the load balancer sends no more callers
   * @param end when the entry ends what is still running
   */
  void begin(long signal, long deregistered, long end) {
    signalMillis = OptionalLong.of(signal);
    deregisteredMillis = deregistered;
    endMillis = end;
  }

  /** Returns the time since this entry was told to stop; empty if it was not. */
  OptionalLong sinceSignalMillis(long nowMillis) {
    return signalMillis.stream().map(signal -> nowMillis - signal).findFirst();
  }

  /** From now on, no request is sent. */
  void stopSending() {
    sendingStopped = true;
  }

  /** Returns whether no request is sent any more, whether new or a retry. */
  boolean isSendingStopped() {
    return sendingStopped;
  }

  /**
   * Returns whether a new request may be sent.
   *
   * @param deadlineMillis time at which the request ends at the latest
   */
  boolean admits(long nowMillis, long deadlineMillis) {
    return !sendingStopped && (nowMillis < deregisteredMillis || deadlineMillis <= endMillis);
  }
}
