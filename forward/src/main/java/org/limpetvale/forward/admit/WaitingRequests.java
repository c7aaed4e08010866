package org.limpetvale.forward.admit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.limpetvale.core.admission.DispatchOrder;
import org.limpetvale.core.time.TimerService;

/** The requests that wait for engine capacity. Must only be used on the event loop. */
public final class WaitingRequests {
  /** Interval at which waiting requests are retried even if no capacity was reported free. */
  private static final long RETRY_PERIOD_MILLIS = 20;

  /**
   * Minimum interval between two passes over the waiting requests. Under load many engines free
   * capacity at the same time, and a single pass already tries every request that may fit.
   */
  private static final long MIN_WAKE_INTERVAL_MILLIS = 5;

  /** Maximum number of requests of one service tried in one pass. */
  private static final int MAX_TRIES_PER_WAKE = 24;

  /** A waiting request. */
  public interface Waiter {
    /** Returns the service that the request is sent to. */
    String service();

    /** Returns the name of the request's route. */
    String routeName();

    /** Returns whether the request waits until an upstream accepts requests again. */
    boolean isDeferred();

    /** Returns the position of the request in the dispatch order. */
    DispatchOrder.SortKey place();

    /**
     * Tries to place the request.
     *
     * @return whether the request no longer waits
     */
    boolean tryAgain();
  }

  private final TimerService timer;
  private final Set<Waiter> waiting = new LinkedHashSet<>();
  private boolean tickScheduled;
  private boolean wakeScheduled;
  private boolean trying;
  private long lastWakeMillis = Long.MIN_VALUE;

  private WaitingRequests(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns an instance without waiting requests. */
  public static WaitingRequests of(TimerService timer) {
    return new WaitingRequests(timer);
  }

  /** Adds a waiting request. */
  public void add(Waiter waiter) {
    waiting.add(Objects.requireNonNull(waiter, "waiter is null"));
    scheduleTick();
  }

  /** Removes a request that no longer waits. */
  public void remove(Waiter waiter) {
    waiting.remove(waiter);
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the number of waiting requests by service. */
  public Map<String, Integer> byService() {
    Map<String, Integer> counts = new HashMap<>();
    waiting.forEach(each -> counts.merge(each.service(), 1, Integer::sum));
    return counts;
  }

  /** Returns the number of requests that wait until an upstream of a service accepts requests. */
  public int deferred(String service) {
    return (int) waiting.stream().filter(each -> isDeferred(each, service)).count();
  }

  /**
   * Returns the number of requests that wait until an upstream of the same service accepts requests
   * and are dispatched before a request. The oldest request of a route counts none, so that a route
   * is not refused entirely while routes of a higher rank use all that is accepted; it is
   * dispatched once most of its time has passed.
   */
  public int countAhead(Waiter waiter) {
    DispatchOrder.SortKey key = waiter.place();
    Comparator<DispatchOrder.SortKey> order = DispatchOrder.at(timer.nowMillis());
    boolean oldestOfRoute = true;
    int ahead = 0;
    for (Waiter other : waiting) {
      if (other == waiter || !isDeferred(other, waiter.service())) {
        continue;
      }
      boolean sameRoute = other.routeName().equals(waiter.routeName());
      oldestOfRoute &= !sameRoute || other.place().arrivedMillis() > key.arrivedMillis();
      ahead += order.compare(other.place(), key) < 0 ? 1 : 0;
    }
    return oldestOfRoute ? 0 : ahead;
  }

  private static boolean isDeferred(Waiter waiter, String service) {
    return waiter.isDeferred() && waiter.service().equals(service);
  }

  /**
   * Retries the waiting requests in dispatch order because capacity may be free: immediately, or
   * once the minimum interval since the last pass has elapsed.
   */
  public void wake() {
    if (waiting.isEmpty() || trying || wakeScheduled) {
      return;
    }
    long sinceLastWakeMillis = timer.nowMillis() - lastWakeMillis;
    if (lastWakeMillis != Long.MIN_VALUE && sinceLastWakeMillis < MIN_WAKE_INTERVAL_MILLIS) {
      wakeScheduled = true;
      timer.after(MIN_WAKE_INTERVAL_MILLIS - sinceLastWakeMillis, this::delayedWake);
      return;
    }
    tryInOrder();
  }

  private void delayedWake() {
    wakeScheduled = false;
    wake();
  }

  private void tryInOrder() {
    trying = true;
    long nowMillis = timer.nowMillis();
    lastWakeMillis = nowMillis;
    Comparator<DispatchOrder.SortKey> order = DispatchOrder.at(nowMillis);
    List<Waiter> inOrder =
        waiting.stream().sorted(Comparator.comparing(Waiter::place, order)).toList();
    Map<String, Integer> triesByService = new HashMap<>();
    for (Waiter waiter : inOrder) {
      if (triesByService.merge(waiter.service(), 1, Integer::sum) > MAX_TRIES_PER_WAKE) {
        continue;
      }
      // Removed before the attempt: a placed request may fail synchronously and add itself again.
      waiting.remove(waiter);
      if (!waiter.tryAgain()) {
        waiting.add(waiter);
      }
    }
    trying = false;
  }

  private void scheduleTick() {
    if (!tickScheduled) {
      tickScheduled = true;
      timer.after(RETRY_PERIOD_MILLIS, this::tick);
    }
  }

  private void tick() {
    tickScheduled = false;
    wake();
    if (!waiting.isEmpty()) {
      scheduleTick();
    }
  }
}
