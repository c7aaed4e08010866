package org.limpetvale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;

final class LeaseTest {
  private static final LeaseRow HELD = new LeaseRow("d", "a/1", 4, 1000, "t");

  @Nested
  class NextWriteTest {
    @Test
    void aContenderWaitsForTheFullDurationOnItsOwnClock() {
      LeaseView view = LeaseView.empty().afterRead(Optional.of(HELD), StoreVersion.of(7), 50_000);
      assertThat(view.nextWrite("b/1", "d", 1000, "t2", 50_999)).isEmpty();
      assertThat(view.nextWrite("b/1", "d", 1000, "t2", 51_000).orElseThrow().epoch()).isEqualTo(5);
    }

    @Test
    void aRenewalRestartsTheContendersWait() {
      LeaseView view = LeaseView.empty().afterRead(Optional.of(HELD), StoreVersion.of(7), 0);
      assertThat(
              view.afterRead(Optional.of(HELD), StoreVersion.of(8), 900)
                  .nextWrite("b/1", "d", 1000, "t", 1500))
          .isEmpty();
    }

    @Test
    void aReleasedLeaseCanBeAcquiredImmediatelyWithAHigherEpoch() {
      LeaseRow free = new LeaseRow("d", "", 4, 1000, "t");
      LeaseView view = LeaseView.empty().afterRead(Optional.of(free), StoreVersion.of(9), 0);
      assertThat(view.nextWrite("b/1", "d", 1000, "t", 0).orElseThrow().epoch()).isEqualTo(5);
    }

    @Test
    void nothingIsWrittenBeforeTheRowHasBeenRead() {
      assertThat(LeaseView.empty().nextWrite("a/1", "d", 1000, "t", 0)).isEmpty();
    }
  }

  @Nested
  class IsHolderTest {
    @Test
    void aHolderStopsBeforeAContenderCanAcquireTheLease() {
      LeaseView holder = LeaseView.empty().afterWrite(HELD, StoreVersion.of(7), 0);
      assertThat(holder.isHolder(699)).isTrue();
      assertThat(holder.isHolder(700)).isFalse();
    }
  }

  @Nested
  class OrderRowTest {
    @Test
    void anInFlightOrderOfAnotherProcessBlocksUntilItsSenderHasTerminated() {
      OrderRow order =
          new OrderRow("d", 4, "o", "a/1", OrderRow.Action.STOP, "m1", OrderRow.State.SENDING);
      assertThat(order.allowsNext("b/1", false)).isFalse();
      assertThat(order.allowsNext("b/1", true)).isTrue();
      assertThat(order.withState(OrderRow.State.UNKNOWN).allowsNext("b/1", false)).isTrue();
    }
  }

  @Nested
  class ScalingPolicyTest {
    private static final ScalingPolicy.Thresholds THRESHOLDS =
        new ScalingPolicy.Thresholds(0.8, 0.4, 1);

    private ScalingPolicy.UpstreamStatus upstream(String vm, boolean running, int load) {
      return new ScalingPolicy.UpstreamStatus(vm, "m", running, false, load, 10);
    }

    @Test
    void highLoadStartsAStoppedUpstream() {
      assertThat(
              ScalingPolicy.decide(
                  List.of(upstream("a", true, 9), upstream("b", false, 0)), THRESHOLDS, 0, 10))
          .contains(new ScalingPolicy.Action.Start("b"));
    }

    @Test
    void lowLoadStopsTheLeastLoadedUpstreamOnlyAfterTheQuietTime() {
      List<ScalingPolicy.UpstreamStatus> upstreams =
          List.of(upstream("a", true, 2), upstream("b", true, 0));
      assertThat(ScalingPolicy.decide(upstreams, THRESHOLDS, 5, 10)).isEmpty();
      assertThat(ScalingPolicy.decide(upstreams, THRESHOLDS, 10, 10))
          .contains(new ScalingPolicy.Action.Stop("b"));
    }

    @Test
    void theLastUpstreamIsNotStopped() {
      assertThat(ScalingPolicy.decide(List.of(upstream("a", true, 0)), THRESHOLDS, 99, 10))
          .isEmpty();
    }
  }

  @Test
  void aTableOutageRestartsTheContendersWait() {
    LeaseRow row = new LeaseRow("duty", "other", 1, 4_000, "t");
    LeaseView seen = LeaseView.empty().afterRead(java.util.Optional.of(row), StoreVersion.of(7), 0);
    assertThat(seen.nextWrite("me", "duty", 4_000, "u", 4_000)).isPresent();
    LeaseView after =
        seen.afterRead(java.util.Optional.of(row), StoreVersion.of(7), 9_000).afterOutage(9_000);
    assertThat(after.nextWrite("me", "duty", 4_000, "u", 12_999)).isEmpty();
    assertThat(after.nextWrite("me", "duty", 4_000, "u", 13_000)).isPresent();
  }
}
