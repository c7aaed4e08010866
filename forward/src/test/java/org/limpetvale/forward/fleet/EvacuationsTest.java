package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.VersionDecoder;

final class EvacuationsTest {
  private static final long REVOCATION_LIMIT_MILLIS = 5_000;
  private static final StoredRow CONFIG = new StoredRow("config", "7", StoreVersion.of(1), false);

  private final ManualTimer timer = new ManualTimer();
  private final ConfigCache config =
      ConfigCache.of(new VersionDecoder(), timer, EventLog.silent(), REVOCATION_LIMIT_MILLIS);
  private final Evacuations evacuations =
      Evacuations.of(new VersionDecoder(), config, timer, EventLog.silent());

  private static StoredRow order(String zone, boolean removed) {
    return new StoredRow("evacuate/" + zone, removed ? "" : "{}", StoreVersion.of(2), removed);
  }

  @Test
  void anOrderIsInForceBeforeTheConfigurationOfTheSameRead() {
    evacuations.onChange(zones -> assertThat(config.config()).isEmpty());
    evacuations.onSnapshot(List.of(CONFIG, order("a", false)));
    assertThat(evacuations.zones()).containsExactly("a");
    assertThat(config.config()).isPresent();
  }

  @Test
  void anOrderEndsWithItsRowAlsoIfOnlyAFullReadShowsThat() {
    evacuations.onUpdate(List.of(order("a", false), order("b", false)));
    evacuations.onUpdate(List.of(order("a", true)));
    assertThat(evacuations.zones()).containsExactly("b");
    evacuations.onSnapshot(List.of(CONFIG));
    assertThat(evacuations.zones()).isEmpty();
  }

  @Test
  void anOrderThatAnOlderCopyOfTheStoreLacksStaysUntilTheOperatorHasWrittenAgain() {
    evacuations.onUpdate(List.of(order("a", false), order("b", false)));
    evacuations.onStoreReturned(new StoreVersion(1, 1));
    evacuations.onSnapshot(List.of(CONFIG));
    evacuations.onUpdate(List.of(order("b", true)));
    assertThat(evacuations.zones()).containsExactly("a");
    timer.advance(20_000);
    evacuations.onSnapshot(List.of(CONFIG));
    assertThat(evacuations.zones()).isEmpty();
  }
}
