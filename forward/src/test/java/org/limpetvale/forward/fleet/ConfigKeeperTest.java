package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.VersionDecoder;

final class ConfigKeeperTest {
  private static final long REVOKE_MILLIS = 5_000;

  private final ManualTimer timer = new ManualTimer();
  private final ConfigCache keeper =
      ConfigCache.of(new VersionDecoder(), timer, EventLog.silent(), REVOKE_MILLIS);

  private void take(String text) {
    keeper.onUpdate(List.of(new StoredRow("config", text, 1, false)));
  }

  private long version() {
    return keeper.config().map(FleetConfig::version).orElse(-1L);
  }

  @Test
  void versionsNeverGoBack() {
    take("7");
    take("5");
    assertThat(version()).isEqualTo(7);
    take("9");
    assertThat(version()).isEqualTo(9);
  }

  @Test
  void anUnusableConfigurationLeavesTheOldOneInForce() {
    take("7");
    take("odd");
    assertThat(version()).isEqualTo(7);
  }

  @Test
  void keysAreCurrentOnlyWithinTheBoundOnWithdrawnKeys() {
    assertThat(keeper.keysAreCurrent()).isFalse();
    keeper.onConfirmed(Moment.now(timer));
    assertThat(keeper.keysAreCurrent()).isTrue();
    timer.advance(REVOKE_MILLIS - 1);
    assertThat(keeper.keysAreCurrent()).isFalse();
    keeper.onConfirmed(new Moment(timer.nowMillis() - 1_000, timer.wallMillis() - 1_000));
    assertThat(keeper.keysAreCurrent()).isTrue();
  }

  @Test
  void aSuspendedVmTrustsItsKeysOnlyAfterTheNextConfirmation() {
    boolean[] asked = new boolean[1];
    keeper.setClockDriftHandler(() -> asked[0] = true);
    keeper.onConfirmed(Moment.now(timer));
    timer.stepWall(4_000);
    assertThat(keeper.keysAreCurrent()).isFalse();
    assertThat(asked[0]).isTrue();
    keeper.onConfirmed(Moment.now(timer));
    assertThat(keeper.keysAreCurrent()).isTrue();
  }
}
