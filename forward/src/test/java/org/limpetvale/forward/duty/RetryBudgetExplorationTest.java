package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * The repeats of all entries together stay within the fleet's budget in every window, whatever
 * happens to the entries and to their store. Each test but the last plays one way in which they did
 * not.
 */
final class RetryBudgetExplorationTest {
  private static final int SEEDS = 20;
  private static final int SCHEDULES = 1_000;
  private static final long SCHEDULE_MILLIS = 90_000;
  private static final long CALM_MILLIS = 30_000;
  private static final int[] FLEETS = {2, 4, 6, 28};

  /** Plays something with fleets of several sizes, with little traffic and with much. */
  private static void play(Consumer<BudgetWorld> story) {
    for (int entries : FLEETS) {
      for (double requestsPerSecond : new double[] {5, 40, 200}) {
        LongStream.range(0, SEEDS)
            .parallel()
            .forEach(seed -> play(seed, entries, requestsPerSecond, story));
      }
    }
  }

  private static void play(
      long seed, int entries, double requestsPerSecond, Consumer<BudgetWorld> story) {
    BudgetWorld world = new BudgetWorld(seed, entries, requestsPerSecond);
    story.accept(world);
    assertThat(world.worst().usedFraction())
        .as(
            "seed %d, %d entries, %.0f requests a second: %s",
            seed, entries, requestsPerSecond, world.worst())
        .isLessThanOrEqualTo(1);
    assertThat(world.repeats()).isPositive();
  }

  @Test
  void repeatsStayInTheBudgetWhileTheStoreIsAwayForLongerThanEntriesAreRemembered() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.storeDown(true);
          world.failing(true);
          world.run(45_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenTheStoreIsBackAfterEntriesWereForgotten() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.storeDown(true);
          world.run(25_000);
          world.storeDown(false);
          world.run(world.random.nextInt(2_000));
          world.failing(true);
          world.run(15_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenFailuresMeetTheFirstStartOfAFleet() {
    play(
        world -> {
          world.run(world.random.nextInt(500));
          world.failing(true);
          world.run(30_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhileEntriesAreStoppedAndStartedOneAfterTheOther() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.failing(true);
          for (BudgetWorld.Entry entry : world.entries()) {
            entry.stop(1_500);
            world.run(1_000);
          }
          world.run(15_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenAllEntriesAreKilledJustAfterABurstOfThem() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.failing(true);
          world.run(500);
          world.entries().forEach(entry -> entry.kill(1_500));
          world.run(15_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenCallersMoveToOtherEntriesAfterABurstOfThem() {
    play(
        world -> {
          int half = world.entries().size() / 2;
          world.entries().subList(0, half).forEach(entry -> entry.weight(0.01));
          world.run(CALM_MILLIS);
          world.failing(true);
          world.run(500);
          world.entries().subList(0, half).forEach(entry -> entry.weight(1));
          world.entries().subList(half, half * 2).forEach(entry -> entry.weight(0.01));
          world.run(15_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenEntriesComeWhileTheOthersCannotRead() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.entries().forEach(entry -> entry.cut(true));
          int joining = world.entries().size();
          for (int i = 0; i < joining; i++) {
            world.add();
          }
          world.run(world.random.nextInt(12_000));
          world.failing(true);
          world.run(25_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetWhenTheyWaitForConnectionsBeforeTheyAreSent() {
    play(
        world -> {
          world.run(CALM_MILLIS);
          world.connectsTake(1_050);
          world.failing(true);
          world.run(9_500);
          world.connectsTake(0);
          world.run(10_000);
        });
  }

  @Test
  void repeatsStayInTheBudgetOverRandomSchedules() {
    LongStream.range(0, SCHEDULES)
        .parallel()
        .forEach(
            seed -> {
              BudgetWorld world = schedule(seed);
              assertThat(world.worst().usedFraction())
                  .as("seed %d: %s", seed, world.worst())
                  .isLessThanOrEqualTo(1);
            });
  }

  private static BudgetWorld schedule(long seed) {
    int entries = 2 + (int) (seed % 7);
    BudgetWorld world = new BudgetWorld(seed, entries, 10 + 20 * (seed % 9));
    for (long at = 0; at < SCHEDULE_MILLIS; ) {
      trouble(world);
      long millis = 200 + world.random.nextInt(3_000);
      world.run(millis);
      at += millis;
    }
    return world;
  }

  private static void trouble(BudgetWorld world) {
    BudgetWorld.Entry entry = world.anyEntry();
    switch (world.random.nextInt(14)) {
      case 0 -> entry.cut(!entry.isCut());
      case 1 -> entry.losesAnswers(world.random.nextInt(3) * 0.3);
      case 2 -> entry.standStill(500 + world.random.nextInt(25_000), world.random.nextBoolean());
      case 3 -> entry.stop(200 + world.random.nextInt(2_000));
      case 4 -> entry.kill(500 + world.random.nextInt(3_000));
      case 5 -> world.entries().forEach(each -> each.kill(500 + world.random.nextInt(3_000)));
      case 6 -> world.storeDown(!world.isStoreDown());
      case 7 -> entry.weight(world.random.nextInt(5) + 0.01);
      case 8 -> world.connectsTake(world.random.nextBoolean() ? 1_050 : 0);
      case 9 -> world.failing(false);
      default -> world.failing(true);
    }
  }
}
