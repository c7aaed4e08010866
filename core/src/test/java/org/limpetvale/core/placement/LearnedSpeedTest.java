package org.limpetvale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.placement.LearnedSpeed.Work;

final class LearnedSpeedTest {
  private final Random random = new Random(5);
  private final LearnedSpeed service = LearnedSpeed.ofService();

  /** Pauses of 25 ms with the usual load, some of them with prompts that are read in between. */
  private void streams(LearnedSpeed upstream, double speed, double slowedShare, int events) {
    for (int i = 0; i < events; i++) {
      double reading = random.nextDouble() < 0.3 ? 150 * random.nextDouble() : 0;
      double slowdown = random.nextDouble() < slowedShare ? 2.5 : 1;
      double millis = (20 + 10 * random.nextDouble() + reading) * slowdown / speed;
      upstream.record(Work.NEXT_EVENT, millis);
      service.record(Work.NEXT_EVENT, millis);
    }
  }

  @Test
  void enginesOfThreeSpeedsAreToldApartAfterFiftyEvents() {
    List<LearnedSpeed> upstreams = Stream.generate(LearnedSpeed::ofUpstream).limit(9).toList();
    List<Double> speeds = List.of(0.6, 1.0, 1.6);
    for (int round = 0; round < 5; round++) {
      for (int i = 0; i < 9; i++) {
        streams(upstreams.get(i), speeds.get(i % 3), 0.15, 10);
      }
    }
    for (int i = 0; i < 9; i += 3) {
      double slow = upstreams.get(i).relativeTo(service).orElseThrow();
      double usual = upstreams.get(i + 1).relativeTo(service).orElseThrow();
      double fast = upstreams.get(i + 2).relativeTo(service).orElseThrow();
      assertThat(usual / slow).isBetween(1.25, 2.2);
      assertThat(fast / usual).isBetween(1.2, 2.1);
    }
  }

  @Test
  void momentsOfSlownessAreNotTakenForALowerSpeed() {
    LearnedSpeed often = LearnedSpeed.ofUpstream();
    for (int round = 0; round < 20; round++) {
      streams(LearnedSpeed.ofUpstream(), 1, 0, 20);
      streams(often, 1, 0.2, 5);
    }
    assertThat(often.relativeTo(service)).hasValue(1);
  }

  @Test
  void aSpeedIsUnknownBeforeThereAreEnoughSamples() {
    LearnedSpeed upstream = LearnedSpeed.ofUpstream();
    streams(upstream, 0.5, 0, 8);
    assertThat(upstream.relativeTo(service)).isEmpty();
  }

  @Test
  void callsTellTheSpeedWithoutAnyStream() {
    LearnedSpeed slow = LearnedSpeed.ofUpstream();
    for (int i = 0; i < 200; i++) {
      double ratio = 0.8 + 0.4 * random.nextDouble();
      service.record(Work.BEGINNING, ratio);
      if (i % 5 == 0) {
        slow.record(Work.BEGINNING, ratio / 0.6);
      }
    }
    assertThat(slow.relativeTo(service).orElseThrow()).isBetween(0.55, 0.75);
  }
}
