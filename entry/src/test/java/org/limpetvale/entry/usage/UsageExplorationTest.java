package org.limpetvale.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.usage.UsageFigures;
import org.limpetvale.core.usage.UsageRecord;
import org.limpetvale.entry.control.FencedSender;
import org.limpetvale.entry.control.LeaseManager;
import org.limpetvale.entry.testing.InMemoryTable;
import org.limpetvale.entry.testing.ManualTimer;
import org.limpetvale.ports.TransactionRunner;
import org.limpetvale.ports.UsageSink;

/**
 * Runs random schedules of three entries that write usage records and compete to report them, with
 * lost table answers, table outages and frozen processes. No process dies, so every record must be
 * reported.
 */
final class UsageExplorationTest {
  private static final int SCHEDULES = 300;
  private static final int STEPS = 120;
  private static final long WINDOW_MILLIS = 1000;
  private static final long LEASE_MILLIS = 900;
  private static final int RECOVERY_STEPS = 400;

  private record Entry(ManualTimer timer, UsageLedger ledger) {}

  /**
   * Keeps the first report of each workspace and window, and records reports that contradict it.
   */
  private static final class Sink implements UsageSink {
    private final SplittableRandom random;
    private final Map<String, UsageFigures> firstReports = new HashMap<>();
    private final List<String> contradictoryReports = new ArrayList<>();

    Sink(long seed) {
      this.random = new SplittableRandom(seed);
    }

    @Override
    public boolean report(String workspace, long window, UsageFigures figures) {
      String key = workspace + "/" + window;
      UsageFigures old = firstReports.putIfAbsent(key, figures);
      if (old != null && !old.equals(figures)) {
        contradictoryReports.add(key);
      }
      return random.nextInt(10) > 0;
    }
  }

  @Test
  void reportsEachRecordOnceAndNeverReportsAWindowWithDifferentFigures() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      run(seed);
    }
  }

  private static void run(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    InMemoryTable table = new InMemoryTable(seed, 0.04);
    Sink sink = new Sink(seed);
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      entries.add(entry("e" + i + "/1", table, sink));
    }
    long added = 0;
    for (int step = 0; step < STEPS; step++) {
      if (random.nextDouble() < 0.03) {
        table.setDown(random.nextBoolean());
      }
      int frozen = random.nextInt(8);
      for (int i = 0; i < 3; i++) {
        Entry each = entries.get(i);
        if (random.nextInt(3) == 0) {
          long tokens = 1 + random.nextInt(50);
          added += tokens;
          each.ledger()
              .add(
                  new UsageRecord(
                      seed + "." + step + "." + i,
                      "w" + random.nextInt(2),
                      new UsageFigures(0, tokens, 1)),
                  "m1");
        }
        long millis = random.nextInt(250);
        if (i == frozen) {
          each.timer().freeze(millis);
        } else {
          each.timer().advance(millis);
        }
      }
    }
    table.setDown(false);
    for (int step = 0; step < RECOVERY_STEPS; step++) {
      entries.forEach(each -> each.timer().advance(100));
    }
    assertThat(sink.contradictoryReports).as("seed %d", seed).isEmpty();
    long reported =
        sink.firstReports.values().stream().mapToLong(UsageFigures::completionTokens).sum();
    assertThat(reported).as("seed %d", seed).isEqualTo(added);
  }

  private static Entry entry(String name, InMemoryTable table, Sink sink) {
    ManualTimer timer = new ManualTimer(5_000);
    TransactionRunner commits = TransactionRunner.of(table, timer);
    SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    UsageLedger ledger = new UsageLedger(commits, timer, metrics, name, WINDOW_MILLIS, 200);
    LeaseManager lease =
        new LeaseManager(name, "usage", LEASE_MILLIS, () -> true, table, commits, timer);
    FencedSender sender = new FencedSender(name, table, commits, gone -> false, timer);
    UsageReporter reporter =
        new UsageReporter(lease, sender, table, commits, sink, timer, metrics, WINDOW_MILLIS);
    assertThat(reporter.lease()).isSameAs(lease);
    return new Entry(timer, ledger);
  }
}
