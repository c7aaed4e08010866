package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The load: a burst of which only a part can be served within its targets. */
final class WaitOrderTest {
  private static final long NOW = 10_000;

  private static WaitOrder.Place place(int rank, long waitedMillis) {
    long arrived = NOW - waitedMillis;
    return new WaitOrder.Place(rank, arrived, 1_500, arrived + 6_000);
  }

  private static List<WaitOrder.Place> ordered(WaitOrder.Place... places) {
    List<WaitOrder.Place> list = new ArrayList<>(List.of(places));
    Comparator<WaitOrder.Place> order = WaitOrder.at(NOW);
    list.sort(order);
    return list;
  }

  @Test
  void thoseOnTimeGoByRankAndArrival() {
    WaitOrder.Place high = place(0, 100);
    WaitOrder.Place lowOld = place(2, 900);
    WaitOrder.Place lowNew = place(2, 50);
    assertThat(ordered(lowNew, lowOld, high)).containsExactly(high, lowOld, lowNew);
  }

  @Test
  void thoseThatMissedTheirTargetFillThePlacesThatAreLeft() {
    WaitOrder.Place late = place(0, 2_000);
    WaitOrder.Place onTime = place(2, 100);
    assertThat(ordered(late, onTime)).containsExactly(onTime, late);
  }

  @Test
  void nobodyWaitsForAllOfItsTime() {
    WaitOrder.Place overdue = place(9, 3_700);
    WaitOrder.Place high = place(0, 100);
    assertThat(ordered(high, overdue)).containsExactly(overdue, high);
  }
}
