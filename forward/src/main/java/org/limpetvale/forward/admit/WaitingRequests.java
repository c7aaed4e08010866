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

/** Requests that wait for room at an engine; for the event loop only. */
public final class WaitingRequests {
  /** Time after which waiting requests are tried again, also without news. */
  private static final long RETRY_PERIOD_MILLIS = 20;

  /**
   * Time between two goes: under load many engines make room at once, and each go places all that
   * may have a chance.
   */
  private static final long SHORTEST_PERIOD_MILLIS = 5;

  /** Requests that are tried in one go. */
  private static final int MOST_TRIES = 24;

  /** A request that waits. */
  public interface Waiter {
    /** Returns the service that it is for. */
    String service();

    /** Returns its place in the order. */
    DispatchOrder.SortKey place();

    /**
     * Tries to place it.
     *
     * @return whether it waits no more
     */
    boolean tryAgain();
  }

  private final TimerService timer;
  private final Set<Waiter> waiting = new LinkedHashSet<>();
  private boolean scheduled;
  private boolean wakeScheduled;
  private boolean trying;
  private long wokenMillis = Long.MIN_VALUE;

  private WaitingRequests(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns an empty list. */
  public static WaitingRequests of(TimerService timer) {
    return new WaitingRequests(timer);
  }

  /** Lets a request wait. */
  public void add(Waiter waiter) {
    waiting.add(Objects.requireNonNull(waiter, "waiter is null"));
    schedule();
  }

  /** Takes a request out that waits no more. */
  public void remove(Waiter waiter) {
    waiting.remove(waiter);
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return waiting.size();
  }

  /** Returns the number of requests that wait, by service. */
  public Map<String, Integer> byService() {
    Map<String, Integer> counts = new HashMap<>();
    waiting.forEach(each -> counts.merge(each.service(), 1, Integer::sum));
    return counts;
  }

  /** Tries the waiting requests in their order, as there may be room: now or in a moment. */
  public void wake() {
    if (waiting.isEmpty() || trying || wakeScheduled) {
      return;
    }
    long sinceMillis = timer.nowMillis() - wokenMillis;
    if (wokenMillis != Long.MIN_VALUE && sinceMillis < SHORTEST_PERIOD_MILLIS) {
      wakeScheduled = true;
      timer.after(SHORTEST_PERIOD_MILLIS - sinceMillis, this::wakeLater);
      return;
    }
    tryInOrder();
  }

  private void wakeLater() {
    wakeScheduled = false;
    wake();
  }

  private void tryInOrder() {
    trying = true;
    long nowMillis = timer.nowMillis();
    wokenMillis = nowMillis;
    Comparator<DispatchOrder.SortKey> order = DispatchOrder.at(nowMillis);
    List<Waiter> first =
        waiting.stream()
            .sorted(Comparator.comparing(Waiter::place, order))
            .limit(MOST_TRIES)
            .toList();
    for (Waiter waiter : first) {
      // Taken out before, as one that is placed may fail at once and wait again.
      waiting.remove(waiter);
      if (!waiter.tryAgain()) {
        waiting.add(waiter);
      }
    }
    trying = false;
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      timer.after(RETRY_PERIOD_MILLIS, this::tick);
    }
  }

  private void tick() {
    scheduled = false;
    wake();
    if (!waiting.isEmpty()) {
      schedule();
    }
  }
}
