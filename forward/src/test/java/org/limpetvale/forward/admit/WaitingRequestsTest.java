package org.limpetvale.forward.admit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetvale.core.admission.DispatchOrder;
import org.limpetvale.forward.testing.ManualTimer;

final class WaitingRequestsTest {
  private final ManualTimer timer = new ManualTimer();
  private final WaitingRequests waiting = WaitingRequests.of(timer);

  /** A request that counts how often it is tried. */
  private static final class Waiter implements WaitingRequests.Waiter {
    private int tries;
    private boolean hasRoom;
    private Runnable whenTried = () -> {};

    @Override
    public String service() {
      return "s";
    }

    @Override
    public DispatchOrder.SortKey place() {
      return new DispatchOrder.SortKey(1, 0, 500, 6_000);
    }

    @Override
    public boolean tryAgain() {
      tries++;
      whenTried.run();
      return hasRoom;
    }
  }

  /** At the worst load many engines make room in each millisecond, while many requests wait. */
  @Test
  void roomAtManyEnginesAtOnceDoesNotTryAllRequestsForEachOfThem() {
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
  void roomThatCameJustAfterAGoIsNotMissed() {
    Waiter waiter = new Waiter();
    waiting.add(waiter);
    waiting.wake();
    waiter.hasRoom = true;
    waiting.wake();
    timer.advance(6);
    assertThat(waiting.size()).isZero();
  }

  /** Its connection may be refused within the call, and it waits for another engine. */
  @Test
  void aRequestThatIsPlacedAndWaitsAgainAtOnceIsKept() {
    Waiter waiter = new Waiter();
    waiter.hasRoom = true;
    waiter.whenTried = () -> waiting.add(waiter);
    waiting.add(waiter);
    waiting.wake();
    assertThat(waiting.size()).isEqualTo(1);
  }
}
