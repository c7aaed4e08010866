package org.limpetvale.core.admission;

/**
 * Decides how long a request may wait for an upstream that accepts no requests at present.
 *
 * <p>A request that nobody is ahead of waits until there is just time left for its answer, even if
 * that is late then. One that others are ahead of waits only if it can still be sent within its
 * latency target: under a lasting overload all requests that are served would be late otherwise.
 */
public final class DeferralLimit {
  /** Shortest time that is left for an answer. */
  private static final long MIN_ANSWER_MILLIS = 40;

  private DeferralLimit() {}

  /**
   * Returns the time by which the request must be sent, in milliseconds.
   *
   * @param request the request
   * @param ahead number of waiting requests that are sent before it; 0 for a request that waits
   *     already, as it was told to
   */
  public static long latestSendMillis(DispatchOrder.SortKey request, int ahead) {
    long answerMillis = Math.max(MIN_ANSWER_MILLIS, request.targetLatencyMillis());
    long lastMillis = request.deadlineMillis() - answerMillis;
    return ahead == 0
        ? lastMillis
        : Math.min(lastMillis, request.arrivedMillis() + request.targetLatencyMillis());
  }
}
