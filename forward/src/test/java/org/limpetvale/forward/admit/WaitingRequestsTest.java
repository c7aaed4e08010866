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
    private Runnable onTry = () -> {};

    @Override
    public String service() {
      return "s";
    }

    @Override
    public String routeName() {
      return "r";
    }

    @Override
    public boolean awaitsTurn() {
      return false;
    }

    @Override
    public DispatchOrder.SortKey place() {
      return new DispatchOrder.SortKey(1, 0, 500, 6_000);
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
}
