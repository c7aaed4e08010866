package org.limpetvale.forward.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.VersionDecoder;

/**
 * Runs seeded schedules of configuration changes, outages, slow and lost responses, dropped history
 * and VM suspensions. The version in force must never go back, and while keys are trusted, the
 * configuration must be no older than the key revocation limit allows.
 */
final class ConfigExplorationTest {
  private static final int SCHEDULES = 10_000;
  private static final int MUTANT_SCHEDULES = 400;
  private static final long REVOCATION_LIMIT_MILLIS = 5_000;
  private static final long SCHEDULE_MILLIS = 30_000;
  private static final long STEP_MILLIS = 100;

  /** A deliberate fault that the check must detect. */
  private enum Mutant {
    NONE,
    /** Dates a confirmation by its response instead of its request. */
    CONFIRMED_AT_ANSWER,
    /** Does not notice that the VM was suspended. */
    BLIND_TO_SUSPENSION
  }

  /** A version acknowledged to the operator, with the true time of the acknowledgement. */
  private record Acknowledged(long version, long trueMillis) {}

  private static final class Simulation implements FleetStore {
    private final Random random;
    private final ManualTimer timer = new ManualTimer();
    private final List<Acknowledged> history = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private final ConfigCache cache;
    private final TableFollower follower;
    private final Mutant mutant;
    private long suspendedMillis;
    private long version = 1;
    private long historyFrom;
    private boolean down;
    private long slowMillis;
    private long highestSeen;
    private boolean violated;

    Simulation(long seed, Mutant mutant) {
      this.random = new Random(seed);
      this.mutant = mutant;
      TimerService time =
          mutant == Mutant.BLIND_TO_SUSPENSION ? new SuspensionBlindTimer(timer) : timer;
      history.add(new Acknowledged(1, trueMillis()));
      cache =
          ConfigCache.of(new VersionDecoder(), time, EventLog.silent(), REVOCATION_LIMIT_MILLIS);
      follower =
          TableFollower.of(
              this,
              RowTable.CONFIG,
              new TableFollower.Timing(1_500, 8_000, 0),
              new MutantSubscriber(),
              time,
              EventLog.silent());
      cache.setClockDriftHandler(follower::restart);
      follower.restart();
    }

    private long trueMillis() {
      return timer.nowMillis() + suspendedMillis;
    }

    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      return answer(this::page);
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, StoreVersion since, long waitMillis) {
      if (since.number() < historyFrom) {
        return answer(StoreRead.HistoryGone::new);
      }
      if (since.number() < version) {
        return answer(this::page);
      }
      CompletableFuture<StoreRead> reply = new CompletableFuture<>();
      boolean[] done = new boolean[1];
      Runnable change =
          () -> {
            if (!done[0]) {
              done[0] = true;
              answer(this::page).thenAccept(reply::complete);
            }
          };
      waiting.add(change);
      timer.after(waitMillis, change);
      return reply;
    }

    private StoreRead page() {
      StoredRow row =
          new StoredRow("config", Long.toString(version), StoreVersion.of(version), false);
      return new StoreRead.Page(new RowPage(List.of(row), StoreVersion.of(version), 0));
    }

    private CompletableFuture<StoreRead> answer(java.util.function.Supplier<StoreRead> read) {
      CompletableFuture<StoreRead> reply = new CompletableFuture<>();
      if (down) {
        timer.after(5 + random.nextInt(900), () -> reply.complete(new StoreRead.Failed("down")));
        return reply;
      }
      StoreRead now = read.get();
      timer.after(4 + slowMillis + random.nextInt(4), () -> reply.complete(now));
      return reply;
    }

    @Override
    public void onReturn(Runnable action) {}

    @Override
    public StoreVersion newestVersion() {
      return StoreVersion.NONE;
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      throw new UnsupportedOperationException("not needed");
    }

    void step() {
      switch (random.nextInt(60)) {
        case 0, 1, 2 -> change();
        case 3 -> down = !down;
        case 4 -> down = false;
        case 5 -> slowMillis = random.nextInt(2) * random.nextInt(3_000);
        case 6 -> historyFrom = version;
        case 7 -> suspend(200 + random.nextInt(9_000));
        default -> {}
      }
      timer.advance(STEP_MILLIS);
      check();
    }

    private void change() {
      version += 1 + random.nextInt(3);
      history.add(new Acknowledged(version, trueMillis()));
      List<Runnable> notified = List.copyOf(waiting);
      waiting.clear();
      notified.forEach(Runnable::run);
    }

    /** Suspends the VM, whose monotonic clock stops, while the operator may change versions. */
    private void suspend(long millis) {
      suspendedMillis += millis / 2;
      if (random.nextBoolean()) {
        version++;
        history.add(new Acknowledged(version, trueMillis()));
      }
      suspendedMillis += millis - millis / 2;
      timer.stepWall(millis);
    }

    private void check() {
      long inForce = cache.config().map(FleetConfig::version).orElse(-1L);
      violated |= inForce < highestSeen;
      highestSeen = Math.max(highestSeen, inForce);
      if (cache.keysAreCurrent()) {
        violated |= inForce < newestAt(trueMillis() - REVOCATION_LIMIT_MILLIS);
      }
    }

    private long newestAt(long trueMillis) {
      long newest = -1;
      for (Acknowledged each : history) {
        if (each.trueMillis() <= trueMillis) {
          newest = each.version();
        }
      }
      return newest;
    }

    /** Forwards the follower's calls to the cache, with the mutant's fault. */
    private final class MutantSubscriber implements TableFollower.Subscriber {
      @Override
      public void onSnapshot(List<StoredRow> rows) {
        cache.onSnapshot(rows);
      }

      @Override
      public void onUpdate(List<StoredRow> rows) {
        cache.onUpdate(rows);
      }

      @Override
      public void onConfirmed(Moment asOf) {
        cache.onConfirmed(mutant == Mutant.CONFIRMED_AT_ANSWER ? Moment.now(timer) : asOf);
      }

      @Override
      public void onStoreReturned(StoreVersion version) {
        cache.onStoreReturned(version);
      }

      @Override
      public void onStoreRecovered() {
        cache.onStoreRecovered();
      }
    }
  }

  /** A timer whose wall clock does not advance while the VM is suspended. */
  private record SuspensionBlindTimer(TimerService timer) implements TimerService {
    @Override
    public long nowMillis() {
      return timer.nowMillis();
    }

    @Override
    public long wallMillis() {
      return timer.nowMillis();
    }

    @Override
    public boolean sleep(long millis) {
      return timer.sleep(millis);
    }

    @Override
    public Subscription every(long periodMillis, Runnable task) {
      return timer.every(periodMillis, task);
    }

    @Override
    public Subscription after(long delayMillis, Runnable task) {
      return timer.after(delayMillis, task);
    }
  }

  private static Optional<Long> firstViolation(int schedules, Mutant mutant) {
    for (long seed = 0; seed < schedules; seed++) {
      Simulation world = new Simulation(seed, mutant);
      for (long at = 0; at < SCHEDULE_MILLIS; at += STEP_MILLIS) {
        world.step();
      }
      if (world.violated) {
        return Optional.of(seed);
      }
    }
    return Optional.empty();
  }

  @Test
  void noVersionGoesBackAndNoWithdrawnKeyIsAcceptedAfterTheLimit() {
    assertThat(firstViolation(SCHEDULES, Mutant.NONE)).as("seed of a violation").isEmpty();
  }

  @Test
  void theCheckFindsADaemonThatDatesConfirmationsByTheirResponse() {
    assertThat(firstViolation(MUTANT_SCHEDULES, Mutant.CONFIRMED_AT_ANSWER)).isPresent();
  }

  @Test
  void theCheckFindsADaemonThatDoesNotNoticeASuspension() {
    assertThat(firstViolation(MUTANT_SCHEDULES, Mutant.BLIND_TO_SUSPENSION)).isPresent();
  }
}
