package org.limpetvale.forward.admit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetvale.core.admission.DispatchOrder;
import org.limpetvale.forward.testing.ManualTimer;

final class WaitingRequestsTest {
  private final ManualTimer timer = new ManualTimer();
  private final WaitingRequests waiting = WaitingRequests.of(timer);

  /** A waiting request that counts how often it is tried. */
  private static final class Waiter implements WaitingRequests.Waiter {
    private int tries;
    private boolean hasCapacity;
    private String service = "s";
    private String route = "r";
    private boolean isDeferred;
    private int rank = 1;
    private long arrivedMillis;
    private Runnable onTry = () -> {};

    @Override
    public String service() {
      return service;
    }

    @Override
    public String routeName() {
      return route;
    }

    @Override
    public boolean isDeferred() {
      return isDeferred;
    }

    @Override
    public DispatchOrder.SortKey place() {
      return new DispatchOrder.SortKey(rank, arrivedMillis, 500, arrivedMillis + 6_000);
    }

    @Override
    public boolean tryAgain() {
      tries++;
      onTry.run();
      return hasCapacity;
    }
  }

  /**
   * Guards against a pass over all waiting requests for each engine that frees capacity: under peak
   * load, many engines free capacity in each millisecond while many requests wait.
   */
  @Test
  void frequentWakesAreCoalesced() {
    Waiter waiter = new Waiter();
    waiting.add(waiter);
    for (int i = 0; i < 1_000; i++) {
      waiting.wake();
      if (i % 10 == 0) {
        timer.advance(1);
      }
    }
    assertThat(waiter.tries).isBetween(10, 30);
  }

  @Test
  void capacityFreedJustAfterAPassIsNotMissed() {
    Waiter waiter = new Waiter();
    waiting.add(waiter);
    waiting.wake();
    waiter.hasCapacity = true;
    waiting.wake();
    timer.advance(6);
    assertThat(waiting.size()).isZero();
  }

  /**
   * Guards against losing a request whose connection is refused synchronously while it is placed,
   * so that it waits again before the attempt returns.
   */
  @Test
  void aRequestThatWaitsAgainDuringItsPlacementIsKept() {
    Waiter waiter = new Waiter();
    waiter.hasCapacity = true;
    waiter.onTry = () -> waiting.add(waiter);
    waiting.add(waiter);
    waiting.wake();
    assertThat(waiting.size()).isEqualTo(1);
  }

  private Waiter awaiting(String route, int rank, long agoMillis) {
    Waiter waiter = new Waiter();
    waiter.route = route;
    waiter.rank = rank;
    waiter.isDeferred = true;
    waiter.arrivedMillis = timer.nowMillis() - agoMillis;
    waiting.add(waiter);
    return waiter;
  }

  @Test
  void requestsOfHigherRankAndEarlierOnesOfTheSameRankAreAhead() {
    awaiting("plan", 0, 10);
    awaiting("look", 2, 300);
    Waiter second = awaiting("look", 2, 200);
    awaiting("look", 2, 100);
    assertThat(waiting.countAhead(second)).isEqualTo(2);
    assertThat(waiting.deferred("s")).isEqualTo(4);
  }

  /** Without this, routes of a low rank would be refused entirely under a lasting overload. */
  @Test
  void theOldestRequestOfARouteCountsNobodyAhead() {
    for (int i = 0; i < 20; i++) {
      awaiting("plan", 0, 10 + i);
    }
    assertThat(waiting.countAhead(awaiting("look", 2, 0))).isZero();
  }

  /** Guards against a limited service whose many waiting requests take all tries of a pass. */
  @Test
  void manyWaitingRequestsOfOneServiceDoNotHoldUpAnother() {
    for (int i = 0; i < 200; i++) {
      awaiting("plan", 0, 10);
    }
    Waiter other = new Waiter();
    other.service = "other";
    other.rank = 5;
    other.arrivedMillis = timer.nowMillis();
    waiting.add(other);
    waiting.wake();
    assertThat(other.tries).isEqualTo(1);
  }
}
