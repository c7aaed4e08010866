package org.limpetvale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetvale.core.time.Moment;

final class AllowanceEntitlementTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final long PERIOD_MILLIS = 5_000;
  private static final int SHARERS = 4;

  private AllowanceEntitlement claim = AllowanceEntitlement.of(WINDOW_MILLIS);

  private static Moment at(long millis) {
    return new Moment(millis, 1_700_000_000_000L + millis);
  }

  private double partAt(long millis) {
    return claim.share(at(millis)).fraction();
  }

  /** Lets the entry write and read once in a period. */
  private void renew(long fromMillis, long untilMillis) {
    for (long now = fromMillis; now <= untilMillis; now += PERIOD_MILLIS) {
      claim = claim.afterRenewal(at(now), at(now + 10)).afterRead(at(now + 10), SHARERS);
    }
  }

  @Test
  void anEntryThatHasJustComeUsesNoPart() {
    renew(0, 15_000);
    assertThat(partAt(19_999)).isZero();
    renew(20_000, 20_000);
    assertThat(partAt(20_010)).isEqualTo(1.0 / SHARERS);
  }

  @Test
  void anEntryThatCannotReadUsesNoPartAfterAWindow() {
    renew(0, 30_000);
    claim = claim.afterRenewal(at(35_000), at(35_010));
    assertThat(partAt(40_010)).isPositive();
    assertThat(partAt(40_011)).isZero();
  }

  @Test
  void anEntryThatCannotWriteUsesNoPartAfterAWindow() {
    renew(0, 30_000);
    claim = claim.afterRead(at(35_000), SHARERS);
    assertThat(partAt(40_000)).isPositive();
    assertThat(partAt(40_001)).isZero();
  }

  @Test
  void anEntryThatWasAwayForMoreThanAWindowComesAsANewOne() {
    renew(0, 30_000);
    renew(41_000, 56_000);
    assertThat(partAt(60_000)).isZero();
    renew(61_000, 61_000);
    assertThat(partAt(61_010)).isPositive();
  }

  @Test
  void aSuspensionCountsThoughTheMonotonicClockStood() {
    renew(0, 30_000);
    Moment afterSuspension = new Moment(30_500, 1_700_000_000_000L + 60_000);
    assertThat(claim.share(afterSuspension).fraction()).isZero();
  }

  @Test
  void aStepOfTheTimeOfDayDoesNotMakeANewEntryKnown() {
    renew(0, 5_000);
    Moment afterStep = new Moment(6_000, 1_700_000_000_000L + 60_000);
    claim = claim.afterRenewal(afterStep, afterStep).afterRead(afterStep, SHARERS);
    assertThat(claim.share(afterStep).fraction()).isZero();
  }
}
