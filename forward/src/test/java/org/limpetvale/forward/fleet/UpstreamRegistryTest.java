package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.RowDecoder;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;

final class UpstreamRegistryTest {
  private final ManualTimer timer = new ManualTimer();
  private final UpstreamRegistry registry =
      UpstreamRegistry.of(new TextDecoder(), timer, EventLog.silent());

  /** Decodes the state of an upstream from the text of its row. */
  private static final class TextDecoder implements RowDecoder {
    @Override
    public boolean isConfig(StoredRow row) {
      return false;
    }

    @Override
    public Decoded<FleetConfig> decodeConfig(StoredRow row) {
      return new Decoded.Unusable<>("none");
    }

    @Override
    public Evacuation decodeEvacuation(StoredRow row) {
      return new Evacuation.None();
    }

    @Override
    public Decoded<Registration> decodeUpstream(StoredRow row) {
      if (row.text().equals("faulty")) {
        throw new IllegalStateException("odd row");
      }
      return row.text().equals("odd")
          ? new Decoded.Unusable<>("odd")
          : new Decoded.Value<>(
              new Registration(
                  new Upstream(
                      row.key(), "s", "10.0.0.1", 80, "z", 6, row.text().equals("draining"), 1),
                  heartbeats(row.text())));
    }

    /** Returns the number behind "beat" of a text. */
    private static long heartbeats(String text) {
      return text.startsWith("beat") ? Long.parseLong(text.substring(4)) : 0;
    }
  }

  private static StoredRow row(String id, String text) {
    return new StoredRow(id, text, StoreVersion.of(1), text.isEmpty());
  }

  @Test
  void anUpstreamThatRegistersInAnEvacuatedZoneGetsNothingUntilTheOrderHasEnded() {
    registry.setEvacuatedZones(Set.of("z"));
    registry.onSnapshot(List.of(row("i-1", "ready")));
    Upstream upstream = registry.view().find("i-1").orElseThrow();
    assertThat(registry.view().accepting("s")).isEmpty();
    assertThat(registry.view().accepts(upstream)).isFalse();
    registry.setEvacuatedZones(Set.of("unknown"));
    assertThat(registry.view().accepting("s")).containsExactly(upstream);
    assertThat(registry.view().accepts(upstream)).isTrue();
  }

  private List<String> ready() {
    return registry.view().ready("s").stream().map(Upstream::id).toList();
  }

  @Test
  void drainingAndRemovedUpstreamsAreImmediatelyNotReady() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready"), row("c", "ready")));
    registry.onUpdate(List.of(row("a", "draining"), row("b", "")));
    assertThat(ready()).containsExactly("c");
  }

  @Test
  void anUpstreamMissingFromASnapshotIsRemoved() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready")));
    registry.onSnapshot(List.of(row("b", "ready")));
    assertThat(ready()).containsExactly("b");
  }

  @Test
  void upstreamsMissingAfterAnOutageAreRemovedAfterAGracePeriod() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready")));
    registry.onStoreRecovered();
    registry.onSnapshot(List.of());
    assertThat(ready()).containsExactly("a", "b");
    timer.advance(1_000);
    registry.onUpdate(List.of(row("a", "ready")));
    timer.advance(1_500);
    assertThat(ready()).containsExactly("a");
  }

  private static StoredRow rowIn(long era, long number, String id, String text) {
    return new StoredRow(id, text, new StoreVersion(era, number), text.isEmpty());
  }

  private void returnFromCopy(StoredRow... rows) {
    registry.onStoreReturned(new StoreVersion(1, 5));
    registry.onSnapshot(List.of(rows));
  }

  @Test
  void aCopyDoesNotBringLeavingOrEndedUpstreamsBackUntilTheyHaveHadTimeToWriteAgain() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready"), row("c", "ready")));
    registry.onUpdate(List.of(row("a", "draining"), row("b", "")));
    StoredRow a = rowIn(1, 2, "a", "ready");
    StoredRow b = rowIn(1, 2, "b", "ready");
    StoredRow c = rowIn(1, 2, "c", "ready");
    returnFromCopy(a, b, c);
    assertThat(ready()).containsExactly("c");
    timer.advance(6_000);
    registry.onSnapshot(List.of(a, b, c));
    assertThat(ready()).containsExactly("a", "b", "c");
  }

  @Test
  void anUpstreamThatWritesItsDescriptionAfterTheReturnIsBackAtOnce() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready")));
    registry.onUpdate(List.of(row("b", "")));
    returnFromCopy(rowIn(1, 2, "a", "ready"), rowIn(1, 2, "b", "ready"));
    registry.onUpdate(List.of(rowIn(1, 6, "b", "ready")));
    assertThat(ready()).containsExactly("a", "b");
  }

  @Test
  void anUpstreamThatACopyLacksIsKeptUntilItHasHadTimeToWriteAgain() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready"), row("c", "ready")));
    returnFromCopy(rowIn(1, 2, "a", "ready"));
    assertThat(ready()).containsExactly("a", "b", "c");
    registry.onUpdate(List.of(rowIn(1, 7, "b", "ready")));
    timer.advance(2_500);
    assertThat(ready()).containsExactly("a", "b");
  }

  @Test
  void anUpstreamWhoseDescriptionBecomesUnusableIsRemoved() {
    registry.onSnapshot(List.of(row("a", "ready"), row("b", "ready")));
    registry.onUpdate(List.of(row("a", "odd")));
    assertThat(ready()).containsExactly("b");
  }

  @Test
  void anExceptionOfTheDecoderConcernsItsRowOnly() {
    registry.onSnapshot(List.of(row("a", "ready"), row("f", "faulty"), row("b", "ready")));
    assertThat(ready()).containsExactly("a", "b");
    registry.onUpdate(List.of(row("f", "faulty"), row("c", "ready")));
    assertThat(ready()).containsExactly("a", "b", "c");
  }

  @Test
  void eachReadTellsWhichProcessesHaveWrittenTheirDescriptionsAgain() {
    List<String> told = new ArrayList<>();
    registry.onRead(
        (sentMillis, heartbeats) ->
            told.add(sentMillis + " " + heartbeats.stream().map(Upstream::id).toList()));
    registry.onSnapshot(List.of(row("a", "beat1"), row("b", "beat7")));
    registry.onConfirmed(Moment.now(timer));
    timer.advance(500);
    registry.onUpdate(List.of(row("a", "beat2")));
    registry.onConfirmed(Moment.now(timer));
    registry.onSnapshot(List.of(row("a", "beat2"), row("b", "beat7")));
    registry.onConfirmed(Moment.now(timer));
    long startMillis = timer.nowMillis() - 500;
    assertThat(told)
        .containsExactly(
            startMillis + " []", startMillis + 500 + " [a]", startMillis + 500 + " []");
  }
}
