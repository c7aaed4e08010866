package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.VersionDecoder;

final class ConfigCacheTest {
  private static final long REVOCATION_LIMIT_MILLIS = 5_000;

  private final ManualTimer timer = new ManualTimer();
  private final ConfigCache cache =
      ConfigCache.of(new VersionDecoder(), timer, EventLog.silent(), REVOCATION_LIMIT_MILLIS);

  private void update(String text) {
    cache.onUpdate(List.of(new StoredRow("config", text, StoreVersion.of(1), false)));
  }

  private long version() {
    return cache.config().map(FleetConfig::version).orElse(-1L);
  }

  @Test
  void versionsNeverGoBack() {
    update("7");
    update("5");
    assertThat(version()).isEqualTo(7);
    update("9");
    assertThat(version()).isEqualTo(9);
  }

  private void updateIn(long era, String text) {
    cache.onUpdate(List.of(new StoredRow("config", text, new StoreVersion(era, 3), false)));
  }

  @Test
  void anOlderCopyOfTheStoreDoesNotUndoTheConfigurationInForce() {
    update("7");
    cache.onStoreReturned(new StoreVersion(1, 3));
    updateIn(1, "5");
    assertThat(version()).isEqualTo(7);
    updateIn(1, "8");
    assertThat(version()).isEqualTo(8);
  }

  @Test
  void aVersionThatIsGivenOutTwiceIsInForceWithItsLaterContent() {
    update("7 before");
    updateIn(0, "7 other");
    assertThat(cache.config().orElseThrow().services()).containsKey("before");
    updateIn(1, "7 after");
    assertThat(cache.config().orElseThrow().services()).containsKey("after");
  }

  @Test
  void keysAreNotConfirmedWhileAnotherEntryHasANewerVersion() {
    long[] peerVersion = {9};
    cache.setNewestPeerVersion(() -> peerVersion[0]);
    update("7");
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isFalse();
    update("9");
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
  }

  @Test
  void anEntryThatHasJustStartedConfirmsKeysOnlyWhenTheOthersHadTimeToTellTheirVersions() {
    cache.withholdConfirmations(ConfigCache.PEER_REPORT_WAIT_MILLIS);
    cache.onSnapshot(List.of(new StoredRow("config", "7", StoreVersion.of(1), false)));
    Moment sent = Moment.now(timer);
    cache.onConfirmed(sent);
    assertThat(cache.keysAreCurrent()).isFalse();
    timer.advance(ConfigCache.PEER_REPORT_WAIT_MILLIS);
    assertThat(cache.keysAreCurrent()).isTrue();
    assertThat(cache.confirmedAgeMillis()).isEqualTo(ConfigCache.PEER_REPORT_WAIT_MILLIS);
  }

  @Test
  void aConfirmationFromAnOlderCopyIsUsedOnlyWhenTheLastOneIsAboutToExpire() {
    update("7");
    cache.onConfirmed(Moment.now(timer));
    cache.onStoreReturned(new StoreVersion(1, 3));
    cache.onConfirmed(Moment.now(timer));
    for (int i = 0; i < 8; i++) {
      assertThat(cache.keysAreCurrent()).isTrue();
      timer.advance(1_000);
      cache.onConfirmed(Moment.now(timer));
    }
  }

  @Test
  void aConfirmationFromAnOlderCopyIsTakenBackWhenAnotherEntryTellsANewerVersion() {
    long[] peerVersion = {-1};
    cache.setNewestPeerVersion(() -> peerVersion[0]);
    cache.withholdConfirmations(ConfigCache.PEER_REPORT_WAIT_MILLIS);
    update("4");
    timer.advance(ConfigCache.PEER_REPORT_WAIT_MILLIS);
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
    timer.advance(300);
    peerVersion[0] = 5;
    assertThat(cache.keysAreCurrent()).isFalse();
    update("5");
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
  }

  @Test
  void aReturnOfTheStoreDoesNotDelayTheConfirmationOfARunningEntry() {
    update("7");
    cache.onStoreReturned(new StoreVersion(1, 3));
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
  }

  @Test
  void anUnusableConfigurationLeavesThePreviousOneInForce() {
    update("7");
    update("odd");
    assertThat(version()).isEqualTo(7);
  }

  @Test
  void keysAreCurrentOnlyWithinTheRevocationLimit() {
    assertThat(cache.keysAreCurrent()).isFalse();
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
    timer.advance(REVOCATION_LIMIT_MILLIS - 1);
    assertThat(cache.keysAreCurrent()).isFalse();
    cache.onConfirmed(new Moment(timer.nowMillis() - 1_000, timer.wallMillis() - 1_000));
    assertThat(cache.keysAreCurrent()).isTrue();
  }

  @Test
  void aSuspendedVmTrustsItsKeysOnlyAfterTheNextConfirmation() {
    boolean[] handlerCalled = new boolean[1];
    cache.setClockDriftHandler(() -> handlerCalled[0] = true);
    cache.onConfirmed(Moment.now(timer));
    timer.stepWall(4_000);
    assertThat(cache.keysAreCurrent()).isFalse();
    assertThat(handlerCalled[0]).isTrue();
    cache.onConfirmed(Moment.now(timer));
    assertThat(cache.keysAreCurrent()).isTrue();
  }

  @Test
  void anExceptionOfTheDecoderLeavesThePreviousConfigurationInForce() {
    update("7");
    update("raises an exception");
    assertThat(version()).isEqualTo(7);
    update("9");
    assertThat(version()).isEqualTo(9);
  }
}
