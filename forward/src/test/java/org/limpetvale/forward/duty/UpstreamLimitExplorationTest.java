package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the entries of a fleet together keep to the limit that an upstream names, in every
 * window, whatever happens to the entries, their store and their reports.
 */
final class UpstreamLimitExplorationTest {
  private static final int SEEDS = 6;
  private static final int SCHEDULES = 600;
  private static final long WARM_UP_MILLIS = 15_000;
  private static final long SCHEDULE_MILLIS = 60_000;
  private static final int[] FLEET_SIZES = {1, 2, 5, 31};
  private static final double[] LIMITS = {0, 0.4, 1.1, 2.1, 9, 40};

  private static void run(Consumer<UpstreamLimitSimulation> scenario) {
    for (int entries : FLEET_SIZES) {
      for (double limit : LIMITS) {
        LongStream.range(0, SEEDS)
            .parallel()
            .forEach(seed -> run(seed, entries, 20 + 60 * (seed % 3), limit, scenario));
      }
    }
  }

  private static void run(
      long seed,
      int entries,
      double requestsPerSecond,
      double limit,
      Consumer<UpstreamLimitSimulation> scenario) {
    UpstreamLimitSimulation simulation =
        new UpstreamLimitSimulation(seed, entries, requestsPerSecond, limit);
    scenario.accept(simulation);
    assertThat(simulation.history().worstWindow().usedFraction())
        .as(
            "seed %d, %d entries, %.0f requests a second, limit %.1f: %s",
            seed, entries, requestsPerSecond, limit, simulation.history().worstWindow())
        .isLessThanOrEqualTo(1);
    assertThat(simulation.history().toldEntries()).isPositive();
  }

  @Test
  void theFleetKeepsTheLimit() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.nameLimit();
          simulation.run(20_000);
        });
  }

  @Test
  void theFleetKeepsTheLimitWhileTheStoreIsDownForLong() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setStoreDown(true);
          simulation.run(simulation.random.nextInt(4_000));
          simulation.nameLimit();
          simulation.run(40_000);
          simulation.setStoreDown(false);
          simulation.run(10_000);
        });
  }

  @Test
  void theFleetKeepsTheLimitWhenAllEntriesAreKilledAtOnce() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.nameLimit();
          simulation.run(4_000);
          simulation.entries().forEach(each -> each.kill(simulation.random.nextInt(3_000)));
          simulation.run(20_000);
        });
  }

  @Test
  void theFleetKeepsTheLimitDuringARollingRestart() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.nameLimit();
          for (UpstreamLimitSimulation.Entry entry : simulation.entries()) {
            entry.stop(simulation.random.nextInt(2_000));
            simulation.run(500);
          }
          simulation.run(10_000);
        });
  }

  @Test
  void theFleetKeepsTheLimitWhenItHasGrownWhileTheStoreWasDown() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setStoreDown(true);
          simulation.run(2_000);
          int joining = simulation.entries().size();
          for (int i = 0; i < joining; i++) {
            simulation.add();
          }
          simulation.nameLimit();
          simulation.run(15_000);
          simulation.setStoreDown(false);
          simulation.run(15_000);
        });
  }

  @Test
  void theFleetKeepsTheLimitWhileMostReportsAreLost() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setReportLoss(0.8);
          simulation.nameLimit();
          simulation.run(20_000);
        });
  }

  @Test
  void anUpstreamWhoseLimitHasEndedIsUsedFreelySoon() {
    for (double limit : LIMITS) {
      UpstreamLimitSimulation simulation = new UpstreamLimitSimulation(1, 5, 80, limit);
      simulation.run(WARM_UP_MILLIS);
      simulation.nameLimit();
      simulation.run(10_000);
      simulation.endLimit();
      simulation.run(22_000);
      long fromMillis = simulation.nowMillis();
      simulation.run(2_000);
      assertThat(simulation.history().arrivals(fromMillis, simulation.nowMillis()))
          .as("limit %.1f", limit)
          .isGreaterThan(140);
    }
  }

  @Test
  void theFleetKeepsTheLimitUnderRandomFaults() {
    LongStream.range(0, SCHEDULES)
        .parallel()
        .forEach(
            seed -> {
              int entries = FLEET_SIZES[(int) (seed % FLEET_SIZES.length)];
              double limit = LIMITS[(int) (seed / FLEET_SIZES.length % LIMITS.length)];
              run(seed, entries, 20 + seed % 7 * 20, limit, UpstreamLimitExplorationTest::explore);
            });
  }

  private static void explore(UpstreamLimitSimulation simulation) {
    simulation.run(WARM_UP_MILLIS);
    long endMillis = simulation.nowMillis() + SCHEDULE_MILLIS;
    simulation.nameLimit();
    while (simulation.nowMillis() < endMillis) {
      injectFault(simulation);
      simulation.run(simulation.random.nextInt(3_000));
    }
  }

  private static void injectFault(UpstreamLimitSimulation simulation) {
    long millis = simulation.random.nextInt(8_000);
    UpstreamLimitSimulation.Entry entry = simulation.anyEntry();
    switch (simulation.random.nextInt(8)) {
      case 0 -> entry.kill(millis);
      case 1 -> entry.stop(millis);
      case 2 -> entry.pause(millis, simulation.random.nextBoolean());
      case 3 -> simulation.setStoreDown(!simulation.isStoreDown());
      case 4 -> entry.setStoreUnreachable(simulation.random.nextBoolean());
      case 5 -> entry.setPeersUnreachable(simulation.random.nextBoolean());
      case 6 -> simulation.setReportLoss(simulation.random.nextDouble() / 2);
      default -> simulation.add();
    }
  }
}
