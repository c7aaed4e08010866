package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The load: a burst of which only a part can be served within its targets. */
final class WaitOrderTest {
  private static final long NOW = 10_000;

  private static DispatchOrder.SortKey place(int rank, long waitedMillis) {
    long arrived = NOW - waitedMillis;
    return new DispatchOrder.SortKey(rank, arrived, 1_500, arrived + 6_000);
  }

  private static List<DispatchOrder.SortKey> ordered(DispatchOrder.SortKey... places) {
    List<DispatchOrder.SortKey> list = new ArrayList<>(List.of(places));
    Comparator<DispatchOrder.SortKey> order = DispatchOrder.at(NOW);
    list.sort(order);
    return list;
  }

  @Test
  void thoseOnTimeGoByRankAndArrival() {
    DispatchOrder.SortKey high = place(0, 100);
    DispatchOrder.SortKey lowOld = place(2, 900);
    DispatchOrder.SortKey lowNew = place(2, 50);
    assertThat(ordered(lowNew, lowOld, high)).containsExactly(high, lowOld, lowNew);
  }

  @Test
  void thoseThatMissedTheirTargetFillThePlacesThatAreLeft() {
    DispatchOrder.SortKey late = place(0, 2_000);
    DispatchOrder.SortKey onTime = place(2, 100);
    assertThat(ordered(late, onTime)).containsExactly(onTime, late);
  }

  @Test
  void nobodyWaitsForAllOfItsTime() {
    DispatchOrder.SortKey overdue = place(9, 3_700);
    DispatchOrder.SortKey high = place(0, 100);
    assertThat(ordered(high, overdue)).containsExactly(overdue, high);
  }
}
