package org.limpetvale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetvale.core.time.Moment;

final class AllowanceEntitlementTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final long PERIOD_MILLIS = 5_000;
  private static final int SHARERS = 4;

  private AllowanceEntitlement entitlement = AllowanceEntitlement.of(WINDOW_MILLIS);

  private static Moment at(long millis) {
    return new Moment(millis, 1_700_000_000_000L + millis);
  }

  private double fractionAt(long millis) {
    return entitlement.share(at(millis)).fraction();
  }

  /** Renews the entry's row and reads all rows once per period. */
  private void renew(long fromMillis, long untilMillis) {
    for (long now = fromMillis; now <= untilMillis; now += PERIOD_MILLIS) {
      entitlement =
          entitlement.afterRenewal(at(now), at(now + 10)).afterRead(at(now + 10), SHARERS);
    }
  }

  @Test
  void aNewEntryHasNoShare() {
    renew(0, 15_000);
    assertThat(fractionAt(19_999)).isZero();
    renew(20_000, 20_000);
    assertThat(fractionAt(20_010)).isEqualTo(1.0 / SHARERS);
  }

  @Test
  void anEntryThatCannotReadLosesItsShareAfterAWindow() {
    renew(0, 30_000);
    entitlement = entitlement.afterRenewal(at(35_000), at(35_010));
    assertThat(fractionAt(40_010)).isPositive();
    assertThat(fractionAt(40_011)).isZero();
  }

  @Test
  void anEntryThatCannotWriteLosesItsShareAfterAWindow() {
    renew(0, 30_000);
    entitlement = entitlement.afterRead(at(35_000), SHARERS);
    assertThat(fractionAt(40_000)).isPositive();
    assertThat(fractionAt(40_001)).isZero();
  }

  @Test
  void anEntryAwayForMoreThanAWindowCountsAsNew() {
    renew(0, 30_000);
    renew(41_000, 56_000);
    assertThat(fractionAt(60_000)).isZero();
    renew(61_000, 61_000);
    assertThat(fractionAt(61_010)).isPositive();
  }

  @Test
  void aSuspensionCountsAlthoughTheMonotonicClockStops() {
    renew(0, 30_000);
    Moment afterSuspension = new Moment(30_500, 1_700_000_000_000L + 60_000);
    assertThat(entitlement.share(afterSuspension).fraction()).isZero();
  }

  @Test
  void aWallClockStepDoesNotMakeANewEntryVisible() {
    renew(0, 5_000);
    Moment afterStep = new Moment(6_000, 1_700_000_000_000L + 60_000);
    entitlement = entitlement.afterRenewal(afterStep, afterStep).afterRead(afterStep, SHARERS);
    assertThat(entitlement.share(afterStep).fraction()).isZero();
  }
}
