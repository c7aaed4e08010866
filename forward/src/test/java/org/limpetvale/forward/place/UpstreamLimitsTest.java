package org.limpetvale.forward.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.limit.ColdStart;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.limit.StatedLimit;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReport;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.TestReports;

final class UpstreamLimitsTest {
  private static final StatedLimit TWO_PER_SECOND = new StatedLimit.PerSecond(2);
  private static final String SELF = "edge-0.boot";

  private final ManualTimer timer = new ManualTimer();
  private final UpstreamStates states = UpstreamStates.empty();
  private List<String> entries = List.of(SELF);
  private final UpstreamLimits limits =
      UpstreamLimits.of(states, SELF, () -> entries, timer::wallMillis, timer, EventLog.silent());
  private final Upstream upstream = process(1);

  private static Upstream process(long startedMillis) {
    return new Upstream("i-1", "desk", "10.0.0.1", 80, "z", 8, false, startedMillis);
  }

  private int send(long millis) {
    int sent = 0;
    for (long i = 0; i < millis; i++) {
      timer.advance(1);
      if (limits.maySend(upstream)) {
        states.state(upstream).recordSend(timer.nowMillis());
        sent++;
      }
    }
    return sent;
  }

  private static PeerReport report(LimitNotice notice, long startedMillis) {
    return TestReports.of(
        "edge-1.boot", 1, Map.of(), Map.of("i-1", new PeerReport.Limit(notice, startedMillis)));
  }

  @Test
  void aLimitHoldsFromTheFirstResponseThatNamesIt() {
    assertThat(send(1_000)).isEqualTo(1_000);
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(send(10_000)).isBetween(18, 21);
  }

  @Test
  void anEntryThatDoesNotKnowTheOthersSendsNothingToALimitedUpstream() {
    entries = List.of();
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(send(10_000)).isZero();
    assertThat(limits.allowedUntil(List.of(upstream), timer.nowMillis() + 10_000)).isZero();
  }

  private void bearsTenPerSecondWhenCold() {
    limits.setColdStarts(
        service -> Optional.of(new ColdStart(3_000, 10)), new ColdStart.Bounds(1.5, 5));
  }

  @Test
  void aColdUpstreamGetsWhatItBearsUntilItHasWarmedUp() {
    bearsTenPerSecondWhenCold();
    limits.coldStated(upstream, 0);
    assertThat(limits.isLimited(upstream)).isFalse();
    limits.coldStated(upstream, 3_000);
    assertThat(limits.coldUpstreams()).isOne();
    assertThat(send(2_900)).isBetween(28, 30);
    timer.advance(100);
    assertThat(send(1_000)).isEqualTo(1_000);
  }

  @Test
  void theLowerOfTwoLimitsOfAColdUpstreamIsInForce() {
    bearsTenPerSecondWhenCold();
    limits.coldStated(upstream, 30_000);
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(send(10_000)).isBetween(18, 21);
  }

  @Test
  void aColdUpstreamOfAServiceThatNamesNoRateIsNotLimited() {
    limits.coldStated(upstream, 3_000);
    assertThat(limits.isLimited(upstream)).isFalse();
    assertThat(limits.hasTurnLapsed(upstream, timer.nowMillis() - 1_000)).isFalse();
  }

  @Test
  void aTurnAtAColdUpstreamLapsesWhileTheConnectionOpens() {
    bearsTenPerSecondWhenCold();
    long placedBeforeMillis = timer.nowMillis();
    timer.advance(10);
    limits.coldStated(upstream, 3_000);
    long placedMillis = timer.nowMillis();
    assertThat(limits.hasTurnLapsed(upstream, placedBeforeMillis)).isTrue();
    assertThat(limits.hasTurnLapsed(upstream, placedMillis)).isFalse();
    timer.advance(500);
    assertThat(limits.hasTurnLapsed(upstream, placedMillis)).isTrue();
  }

  @Test
  void theLimitIsSharedAmongTheEntries() {
    entries = List.of(SELF, "edge-1.boot", "edge-2.boot", "edge-3.boot");
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(send(100_000)).isBetween(30, 70);
  }

  @Test
  void aLimitThatEntriesReportHoldsBeforeThisEntryHearsOfItItself() {
    limits.peerReported(report(LimitNotice.of(2, timer.wallMillis()), 1), view());
    assertThat(limits.isLimited(upstream)).isTrue();
    limits.peerReported(report(LimitNotice.ended(timer.wallMillis() + 1), 1), view());
    assertThat(limits.isLimited(upstream)).isFalse();
  }

  @Test
  void aLimitOfAnEarlierProcessAtTheSameAddressDoesNotHold() {
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(limits.isLimited(process(2))).isFalse();
    limits.peerReported(
        report(LimitNotice.of(2, timer.wallMillis()), 1), FleetView.of(List.of(process(2))));
    assertThat(limits.isLimited(process(2))).isFalse();
  }

  @Test
  void limitsThatThisEntryHasHeardItselfAreReportedForATime() {
    limits.responseReceived(upstream, TWO_PER_SECOND, timer.nowMillis() - 5);
    assertThat(limits.recentNotices().get("i-1").notice().requestsPerSecond()).hasValue(2);
    timer.advance(2_001);
    assertThat(limits.recentNotices()).isEmpty();
  }

  @Test
  void limitsThatOtherEntriesReportAreNotReportedOn() {
    limits.peerReported(report(LimitNotice.of(2, timer.wallMillis()), 1), view());
    assertThat(limits.recentNotices()).isEmpty();
  }

  /** Guards against a new allowance with each of many limits that follow each other. */
  @Test
  void aLimitThatChangesWithEveryResponseAllowsNoMoreThanItsHighestValue() {
    int sent = 0;
    for (int i = 0; i < 400; i++) {
      double perSecond = i % 2 == 0 ? 2 : 2.2;
      limits.responseReceived(
          upstream, new StatedLimit.PerSecond(perSecond), timer.nowMillis() - 5);
      sent += send(10);
    }
    assertThat(sent).isLessThanOrEqualTo((int) (1.5 * 2.2 * 4 + 5));
  }

  @Test
  void anUnreadableLimitChangesNothing() {
    limits.responseReceived(upstream, new StatedLimit.Unreadable("soon"), timer.nowMillis() - 5);
    assertThat(limits.isLimited(upstream)).isFalse();
  }

  private FleetView view() {
    return FleetView.of(List.of(upstream));
  }
}
