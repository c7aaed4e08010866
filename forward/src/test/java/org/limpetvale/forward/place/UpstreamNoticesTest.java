package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.core.limit.StatedPause;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.spi.UpstreamNotice;
import org.limpetvale.forward.testing.ManualTimer;

final class UpstreamNoticesTest {
  private static final UpstreamNotice LEAVING =
      new UpstreamNotice(Optional.empty(), StatedLimit.NONE, true, StatedPause.NONE);
  private static final UpstreamNotice NOTHING =
      new UpstreamNotice(Optional.empty(), StatedLimit.NONE, false, StatedPause.NONE);

  private final ManualTimer timer = new ManualTimer();
  private final UpstreamStates states = UpstreamStates.empty();
  private final UpstreamNotices notices =
      UpstreamNotices.of(
          states,
          UpstreamLimits.of(
              states, "a.1", () -> List.of("a.1"), timer::wallMillis, timer, EventLog.silent()),
          () -> 0.5,
          timer,
          EventLog.silent());

  private static Upstream process(long startedMillis) {
    return new Upstream("i-1", "desk", "10.0.0.1", 80, "z", 8, false, startedMillis);
  }

  private boolean isLeaving(Upstream upstream) {
    return states.state(upstream).isLeaving();
  }

  private static PeerReport report(String json) {
    return PeerReport.parse(json).orElseThrow();
  }

  @Test
  void anUpstreamIsLeavingUntilAnotherProcessTakesItsPlace() {
    notices.responseReceived(process(1), LEAVING, 0);
    notices.responseReceived(process(1), NOTHING, 0);
    assertThat(isLeaving(process(1))).isTrue();
    assertThat(isLeaving(process(2))).isFalse();
  }

  @Test
  void otherEntriesLearnWhichProcessIsLeaving() {
    notices.responseReceived(process(1), LEAVING, 0);
    assertThat(notices.recentlyLeaving()).containsEntry("i-1", 1L);
    timer.advance(2_001);
    assertThat(notices.recentlyLeaving()).isEmpty();
  }

  @Test
  void whatAnotherEntryReportsHoldsForTheSameProcessOnly() {
    FleetView fleet = FleetView.of(List.of(process(1)));
    notices.peerReported(report("{\"w\":\"b.1\",\"n\":1,\"v\":{\"i-1\":7,\"i-2\":1}}"), fleet);
    assertThat(isLeaving(process(1))).isFalse();
    notices.peerReported(report("{\"w\":\"b.1\",\"n\":2,\"v\":{\"i-1\":1}}"), fleet);
    assertThat(isLeaving(process(1))).isTrue();
    assertThat(notices.recentlyLeaving()).isEmpty();
  }

  private double relativeSpeed() {
    return states.state(process(1)).lastingSpeed(PeerReport.Load.NONE);
  }

  @Test
  void theSpeedThatAnUpstreamStatesCountsOnlyOnceItIsToBeUsed() {
    UpstreamNotice slow =
        new UpstreamNotice(
            Optional.of(new UpstreamNotice.Load(1, 0, 8, OptionalDouble.of(2))),
            StatedLimit.NONE,
            false,
            StatedPause.NONE);
    notices.responseReceived(process(1), slow, 0);
    assertThat(relativeSpeed()).isEqualTo(1);
    notices.useStatedSpeeds();
    notices.responseReceived(process(1), slow, 0);
    assertThat(relativeSpeed()).isBetween(0.45, 0.55);
  }

  private void pause(StatedPause pause) {
    notices.responseReceived(
        process(1),
        new UpstreamNotice(Optional.empty(), StatedLimit.NONE, false, pause),
        timer.nowMillis());
  }

  private boolean maySend() {
    return notices.limits().maySend(process(1));
  }

  @Test
  void aPauseIsKeptAndALittleMore() {
    pause(new StatedPause.ForMillis(3_000));
    timer.advance(3_000);
    assertThat(maySend()).isFalse();
    timer.advance(300);
    assertThat(maySend()).isTrue();
  }

  @Test
  void aShorterPauseDoesNotEndALongerOne() {
    pause(new StatedPause.ForMillis(3_000));
    pause(new StatedPause.ForMillis(100));
    timer.advance(2_900);
    assertThat(maySend()).isFalse();
  }

  @Test
  void aLongerPauseExtendsAShorterOne() {
    pause(new StatedPause.ForMillis(100));
    pause(new StatedPause.ForMillis(3_000));
    timer.advance(2_900);
    assertThat(maySend()).isFalse();
  }

  @Test
  void afterAPauseTheUpstreamGetsSingleRequestsUntilItAcceptsOne() {
    pause(new StatedPause.ForMillis(1_000));
    timer.advance(1_200);
    states.state(process(1)).recordSend(timer.nowMillis());
    assertThat(maySend()).isFalse();
    notices.responseReceived(process(1), NOTHING, timer.nowMillis());
    assertThat(maySend()).isTrue();
  }

  @Test
  void aResponseToARequestSentBeforeThePauseDoesNotProveThatItHasEnded() {
    long sentMillis = timer.nowMillis();
    pause(new StatedPause.ForMillis(1_000));
    notices.responseReceived(process(1), NOTHING, sentMillis);
    assertThat(maySend()).isFalse();
  }

  @Test
  void aDateOrAHugeValueIsBoundedAndJunkIsIgnored() {
    assertThat(new StatedPause.Until(5_000).millis(2_000)).isEqualTo(3_000);
    assertThat(new StatedPause.Until(5_000).millis(9_000)).isZero();
    assertThat(new StatedPause.ForMillis(Long.MAX_VALUE).millis(0)).isEqualTo(300_000);
    pause(new StatedPause.Unreadable("soon"));
    assertThat(maySend()).isTrue();
  }

  @Test
  void callersReturnWhenTheEarliestPauseHasEnded() {
    pause(new StatedPause.ForMillis(3_000));
    assertThat(notices.limits().returnAfterMillis("desk", List.of(process(1)), 0))
        .isBetween(3_000L, 3_600L);
    assertThat(notices.limits().allowedUntil(List.of(process(1)), timer.nowMillis() + 2_000))
        .isZero();
    assertThat(notices.limits().allowedUntil(List.of(process(1)), timer.nowMillis() + 5_000))
        .isEqualTo(8);
  }
}
