package org.limpetvale.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order under a burst of which only a part can be served within its targets. */
final class DispatchOrderTest {
  private static final long NOW_MILLIS = 10_000;

  private static DispatchOrder.SortKey key(int rank, long waitedMillis) {
    long arrivedMillis = NOW_MILLIS - waitedMillis;
    return new DispatchOrder.SortKey(rank, arrivedMillis, 1_500, arrivedMillis + 6_000);
  }

  private static List<DispatchOrder.SortKey> ordered(DispatchOrder.SortKey... keys) {
    List<DispatchOrder.SortKey> list = new ArrayList<>(List.of(keys));
    Comparator<DispatchOrder.SortKey> order = DispatchOrder.at(NOW_MILLIS);
    list.sort(order);
    return list;
  }

  @Test
  void requestsWithinTheirTargetAreOrderedByRankAndArrival() {
    DispatchOrder.SortKey highRank = key(0, 100);
    DispatchOrder.SortKey lowOld = key(2, 900);
    DispatchOrder.SortKey lowNew = key(2, 50);
    assertThat(ordered(lowNew, lowOld, highRank)).containsExactly(highRank, lowOld, lowNew);
  }

  @Test
  void requestsThatMissedTheirTargetComeAfterThoseThatHaveNot() {
    DispatchOrder.SortKey late = key(0, 2_000);
    DispatchOrder.SortKey onTime = key(2, 100);
    assertThat(ordered(late, onTime)).containsExactly(onTime, late);
  }

  @Test
  void requestsCloseToTheirDeadlineComeFirst() {
    DispatchOrder.SortKey overdue = key(9, 3_700);
    DispatchOrder.SortKey highRank = key(0, 100);
    assertThat(ordered(highRank, overdue)).containsExactly(overdue, highRank);
  }
}
