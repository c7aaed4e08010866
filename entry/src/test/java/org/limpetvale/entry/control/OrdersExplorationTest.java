package org.limpetvale.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.lease.OrderRow;
import org.limpetvale.entry.testing.InMemoryTable;
import org.limpetvale.entry.testing.ManualTimer;
import org.limpetvale.ports.TransactionRunner;

/**
 * Explores random schedules of three processes that contend for one duty, with process pauses, lost
 * responses, table outages and process crashes. The receiver ignores fencing tokens.
 */
final class OrdersExplorationTest {
  private static final int SCHEDULES = 3000;
  private static final int STEPS = 150;
  private static final long LEASE_MILLIS = 1000;
  private static final String DUTY = "power.z1";

  /** How orders are sent. {@code LEASE_ONLY} shows that the test detects the missing claim. */
  private enum Mode {
    CLAIMED,
    LEASE_ONLY
  }

  private static final class Process {
    private final String name;
    private final ManualTimer timer;
    private final LeaseManager lease;
    private final FencedSender sender;
    private Optional<FencedSender.Claimed> claimed = Optional.empty();
    private long claimedEpoch;
    private boolean dead;

    Process(String name, InMemoryTable table, Set<String> gone, long clockMillis) {
      this.name = name;
      this.timer = new ManualTimer(clockMillis);
      TransactionRunner commits = TransactionRunner.of(table, timer);
      this.lease = new LeaseManager(name, DUTY, LEASE_MILLIS, () -> true, table, commits, timer);
      this.sender = new FencedSender(name, table, commits, gone::contains, timer);
    }
  }

  @Test
  void orderOfAnEarlierEpochNeverFollowsOneOfALaterEpoch() {
    int sent = 0;
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      List<Long> epochs = run(seed, Mode.CLAIMED);
      assertThat(epochs).as("seed %d", seed).isSorted();
      sent += epochs.size();
    }
    assertThat(sent).as("orders sent in all schedules").isGreaterThan(SCHEDULES);
  }

  @Test
  void withoutClaimsAnOrderOfAnEarlierEpochMayFollowOneOfALaterEpoch() {
    int violations = 0;
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      List<Long> epochs = run(seed, Mode.LEASE_ONLY);
      violations += epochs.stream().sorted().toList().equals(epochs) ? 0 : 1;
    }
    assertThat(violations).isPositive();
  }

  /** Runs one schedule; returns the epochs of the orders as received. */
  private static List<Long> run(long seed, Mode mode) {
    SplittableRandom random = new SplittableRandom(seed);
    InMemoryTable table = new InMemoryTable(seed, 0.05);
    Set<String> gone = new HashSet<>();
    List<Process> processes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      processes.add(new Process("e" + i + "/1", table, gone, random.nextInt(100_000)));
    }
    List<Long> received = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextDouble() < 0.02) {
        table.setDown(random.nextBoolean());
      }
      long stepMillis = random.nextInt(300);
      int pausedProcess = random.nextInt(6);
      for (int i = 0; i < processes.size(); i++) {
        Process each = processes.get(i);
        if (each.dead) {
          continue;
        }
        if (i == pausedProcess) {
          each.timer.freeze(stepMillis);
        } else {
          each.timer.advance(stepMillis);
          act(each, random, received, mode);
        }
      }
      if (random.nextDouble() < 0.005) {
        Process crashedProcess = processes.get(random.nextInt(processes.size()));
        crashedProcess.dead = true;
        gone.add(crashedProcess.name);
      }
    }
    return received;
  }

  /** Claims an order, or sends the claimed order, at random times. */
  private static void act(
      Process process, SplittableRandom random, List<Long> received, Mode mode) {
    if (random.nextInt(3) > 0) {
      return;
    }
    if (process.claimed.isEmpty()) {
      Optional<LeaseManager.Held> held = process.lease.held();
      if (held.isPresent()) {
        process.claimedEpoch = held.get().epoch();
        process.claimed = claim(process, held.get(), mode);
      }
      return;
    }
    // The process may have been paused between the lease check and this send.
    received.add(process.claimedEpoch);
    if (mode == Mode.CLAIMED) {
      process.sender.conclude(process.claimed.get(), OrderRow.State.DONE);
    }
    process.claimed = Optional.empty();
  }

  private static Optional<FencedSender.Claimed> claim(
      Process process, LeaseManager.Held held, Mode mode) {
    if (mode == Mode.CLAIMED) {
      return process.sender.claim(held, OrderRow.Action.STOP, "m1");
    }
    OrderRow order =
        new OrderRow(
            DUTY,
            held.epoch(),
            "o",
            process.name,
            OrderRow.Action.STOP,
            "m1",
            OrderRow.State.SENDING);
    return Optional.of(new FencedSender.Claimed(order, 0));
  }
}
