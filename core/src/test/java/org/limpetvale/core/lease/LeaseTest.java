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

  /** The store has come back from an older copy. */
  @Nested
  class NewEraTest {
    private static final StoreVersion BEFORE = new StoreVersion(1, 250);
    private static final StoreVersion AFTER = new StoreVersion(2, 28);
    private static final LeaseRow COPY = new LeaseRow("d", "c/1", 1_000_000_003, 1000, "t");

    private final LeaseView holder =
        LeaseView.empty()
            .afterWrite(new LeaseRow("d", "a/1", 1_000_000_007, 1000, "t"), BEFORE, 0, 0);

    private long epochTakenAt(LeaseView view, long nowMillis) {
      return view.nextWrite("a/1", "d", 1000, "u", nowMillis).map(LeaseRow::epoch).orElse(0L);
    }

    @Test
    void theLastHolderTakesTheLeaseAtOnceWithATokenOfTheNewEra() {
      LeaseView view = holder.afterRead(Optional.of(COPY), AFTER, 599);
      assertThat(view.isHolder(599)).isFalse();
      assertThat(epochTakenAt(view, 599)).isEqualTo(2_000_000_001);
    }

    @Test
    void aHolderThatLearnsOfTheNewEraAfterItsLeaseWaitsLikeAllOthers() {
      LeaseView view = holder.afterRead(Optional.of(COPY), AFTER, 1_000);
      assertThat(epochTakenAt(view, 1_999)).isZero();
      assertThat(epochTakenAt(view, 2_000)).isEqualTo(2_000_000_001);
    }

    @Test
    void aRenewalThatTookEffectAfterTheReturnShowsThatNobodyElseHasTakenTheLease() {
      LeaseRow renewal = holder.nextWrite("a/1", "d", 1000, "u", 500).orElseThrow();
      LeaseView inTime = holder.afterWrite(renewal, AFTER, 500, 550);
      LeaseView late = holder.afterWrite(renewal, AFTER, 500, 650);
      assertThat(epochTakenAt(inTime, 560)).isEqualTo(2_000_000_001);
      assertThat(epochTakenAt(late, 660)).isZero();
    }

    /** Otherwise two processes act in one lease duration, the later one with the lower token. */
    @Test
    void anAcquisitionThatTookEffectAfterAReturnDoesNotMakeItsSenderTheLastHolder() {
      LeaseView contender = LeaseView.empty().afterRead(Optional.of(COPY), BEFORE, 0);
      LeaseRow taken = contender.nextWrite("a/1", "d", 1000, "u", 1_000).orElseThrow();
      LeaseView after = contender.afterWrite(taken, AFTER, 1_000, 1_010);
      assertThat(after.lastHolderOfEarlierEra()).isFalse();
      assertThat(after.isHolder(1_020)).isFalse();
    }

    @Test
    void aReleaseOrAMissingRowInTheCopyDoesNotShortenTheWait() {
      LeaseRow free = new LeaseRow("d", "", 1_000_000_003, 1000, "t");
      LeaseView released = LeaseView.empty().afterRead(Optional.of(free), AFTER, 0);
      LeaseView missing =
          LeaseView.empty().afterRead(Optional.empty(), StoreVersion.absentIn(2), 0);
      assertThat(epochTakenAt(released, 999)).isZero();
      assertThat(epochTakenAt(missing, 999)).isZero();
      assertThat(epochTakenAt(missing, 1_000)).isEqualTo(2_000_000_001);
    }

    @Test
    void theSameVersionNumberInAnotherEraIsAnotherRevision() {
      LeaseView seen = LeaseView.empty().afterRead(Optional.of(HELD), new StoreVersion(0, 7), 0);
      LeaseView again = seen.afterRead(Optional.of(HELD), new StoreVersion(1, 7), 900);
      assertThat(epochTakenAt(again, 1_899)).isZero();
      assertThat(epochTakenAt(again, 1_900)).isEqualTo(1_000_000_001);
    }
  }

  @Nested
  class IsHolderTest {
    @Test
    void aHolderStopsBeforeAContenderCanAcquireTheLease() {
      LeaseView holder = LeaseView.empty().afterWrite(HELD, StoreVersion.of(7), 0, 0);
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
