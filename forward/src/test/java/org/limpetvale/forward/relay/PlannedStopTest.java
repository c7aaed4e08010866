package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which requests are still sent to upstreams while an entry stops. */
final class PlannedStopTest {
  private static final long DEREGISTERED_MILLIS = 2_600;
  private static final long END_MILLIS = 7_100;

  private final PlannedStop stop = new PlannedStop();

  @Test
  void anEntryThatDoesNotStopTakesEveryRequest() {
    assertThat(stop.admits(1_000_000, Long.MAX_VALUE)).isTrue();
  }

  @Test
  void whileTheLoadBalancerStillSendsCallersEveryRequestIsTaken() {
    stop.begin(0, DEREGISTERED_MILLIS, END_MILLIS);
    assertThat(stop.admits(DEREGISTERED_MILLIS - 1, END_MILLIS + 15_000)).isTrue();
  }

  @Test
  void afterThatOnlyRequestsAreTakenThatEndBeforeTheEntryDoes() {
    stop.begin(0, DEREGISTERED_MILLIS, END_MILLIS);
    assertThat(stop.admits(DEREGISTERED_MILLIS, END_MILLIS)).isTrue();
    assertThat(stop.admits(DEREGISTERED_MILLIS, END_MILLIS + 1)).isFalse();
  }

  @Test
  void lateInTheStopNothingIsTaken() {
    stop.begin(0, DEREGISTERED_MILLIS, END_MILLIS);
    stop.stopSending();
    assertThat(stop.isSendingStopped()).isTrue();
    assertThat(stop.admits(DEREGISTERED_MILLIS + 1_400, END_MILLIS - 2_000)).isFalse();
  }
}
