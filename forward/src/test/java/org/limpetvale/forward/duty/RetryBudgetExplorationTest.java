package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the retries of all entries together stay within the fleet's budget in every window,
 * whatever happens to the entries and to their store. Each test but the last reproduces one
 * scenario in which an earlier version exceeded the budget.
 */
final class RetryBudgetExplorationTest {
  private static final int SEEDS = 20;
  private static final int SCHEDULES = 1_000;
  private static final long SCHEDULE_MILLIS = 90_000;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final int[] FLEET_SIZES = {2, 4, 6, 28};

  /** Runs a scenario with several fleet sizes and request rates. */
  private static void run(Consumer<RetryBudgetSimulation> scenario) {
    for (int entries : FLEET_SIZES) {
      for (double requestsPerSecond : new double[] {5, 40, 200}) {
        LongStream.range(0, SEEDS)
            .parallel()
            .forEach(seed -> run(seed, entries, requestsPerSecond, scenario));
      }
    }
  }

  private static void run(
      long seed, int entries, double requestsPerSecond, Consumer<RetryBudgetSimulation> scenario) {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(seed, entries, requestsPerSecond);
    scenario.accept(simulation);
    assertThat(simulation.worstWindow().usedFraction())
        .as(
            "seed %d, %d entries, %.0f requests a second: %s",
            seed, entries, requestsPerSecond, simulation.worstWindow())
        .isLessThanOrEqualTo(1);
    assertThat(simulation.retryCount()).isPositive();
  }

  @Test
  void retriesStayInTheBudgetWhileTheStoreIsDownForLongerThanRowsAreRetained() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setStoreDown(true);
          simulation.setFailing(true);
          simulation.run(45_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenTheStoreRecoversAfterRowsHaveExpired() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setStoreDown(true);
          simulation.run(25_000);
          simulation.setStoreDown(false);
          simulation.run(simulation.random.nextInt(2_000));
          simulation.setFailing(true);
          simulation.run(15_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenRequestsFailDuringTheFirstStartOfAFleet() {
    run(
        simulation -> {
          simulation.run(simulation.random.nextInt(500));
          simulation.setFailing(true);
          simulation.run(30_000);
        });
  }

  @Test
  void retriesStayInTheBudgetDuringARollingRestart() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setFailing(true);
          for (RetryBudgetSimulation.Entry entry : simulation.entries()) {
            entry.stop(1_500);
            simulation.run(1_000);
          }
          simulation.run(15_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenAllEntriesAreKilledAfterABurstOfRetries() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setFailing(true);
          simulation.run(500);
          simulation.entries().forEach(entry -> entry.kill(1_500));
          simulation.run(15_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenCallersMoveToOtherEntriesAfterABurstOfRetries() {
    run(
        simulation -> {
          int half = simulation.entries().size() / 2;
          simulation.entries().subList(0, half).forEach(entry -> entry.setWeight(0.01));
          simulation.run(WARM_UP_MILLIS);
          simulation.setFailing(true);
          simulation.run(500);
          simulation.entries().subList(0, half).forEach(entry -> entry.setWeight(1));
          simulation.entries().subList(half, half * 2).forEach(entry -> entry.setWeight(0.01));
          simulation.run(15_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenEntriesJoinWhileTheOthersCannotRead() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.entries().forEach(entry -> entry.setStoreUnreachable(true));
          int joining = simulation.entries().size();
          for (int i = 0; i < joining; i++) {
            simulation.add();
          }
          simulation.run(simulation.random.nextInt(12_000));
          simulation.setFailing(true);
          simulation.run(25_000);
        });
  }

  @Test
  void retriesStayInTheBudgetWhenTheyWaitForConnectionsBeforeTheyAreSent() {
    run(
        simulation -> {
          simulation.run(WARM_UP_MILLIS);
          simulation.setMaxConnectMillis(1_050);
          simulation.setFailing(true);
          simulation.run(9_500);
          simulation.setMaxConnectMillis(0);
          simulation.run(10_000);
        });
  }

  @Test
  void retriesStayInTheBudgetInRandomSchedules() {
    LongStream.range(0, SCHEDULES)
        .parallel()
        .forEach(
            seed -> {
              RetryBudgetSimulation simulation = schedule(seed);
              assertThat(simulation.worstWindow().usedFraction())
                  .as("seed %d: %s", seed, simulation.worstWindow())
                  .isLessThanOrEqualTo(1);
            });
  }

  private static RetryBudgetSimulation schedule(long seed) {
    int entries = 2 + (int) (seed % 7);
    RetryBudgetSimulation simulation =
        new RetryBudgetSimulation(seed, entries, 10 + 20 * (seed % 9));
    for (long at = 0; at < SCHEDULE_MILLIS; ) {
      injectFault(simulation);
      long millis = 200 + simulation.random.nextInt(3_000);
      simulation.run(millis);
      at += millis;
    }
    return simulation;
  }

  private static void injectFault(RetryBudgetSimulation simulation) {
    RetryBudgetSimulation.Entry entry = simulation.anyEntry();
    switch (simulation.random.nextInt(14)) {
      case 0 -> entry.setStoreUnreachable(!entry.isStoreUnreachable());
      case 1 -> entry.setLostShare(simulation.random.nextInt(3) * 0.3);
      case 2 ->
          entry.pause(500 + simulation.random.nextInt(25_000), simulation.random.nextBoolean());
      case 3 -> entry.stop(200 + simulation.random.nextInt(2_000));
      case 4 -> entry.kill(500 + simulation.random.nextInt(3_000));
      case 5 ->
          simulation.entries().forEach(each -> each.kill(500 + simulation.random.nextInt(3_000)));
      case 6 -> simulation.setStoreDown(!simulation.isStoreDown());
      case 7 -> entry.setWeight(simulation.random.nextInt(5) + 0.01);
      case 8 -> simulation.setMaxConnectMillis(simulation.random.nextBoolean() ? 1_050 : 0);
      case 9 -> simulation.setFailing(false);
      default -> simulation.setFailing(true);
    }
  }
}
