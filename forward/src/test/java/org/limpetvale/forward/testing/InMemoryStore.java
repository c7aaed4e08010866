package org.limpetvale.forward.testing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.spi.FleetStore;
import org.limpetvale.forward.spi.RowPage;
import org.limpetvale.forward.spi.RowTable;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.spi.StoreCommit;
import org.limpetvale.forward.spi.StoreRead;
import org.limpetvale.forward.spi.StoredRow;

/**
 * An in-memory store with random delays, late writes and lost responses, reproducible by the seed
 * of its random generator.
 */
public final class InMemoryStore {
  private static final long ANSWER_TIMEOUT_MILLIS = 1_500;
  private static final long MAX_LATE_MILLIS = 6_000;

  private final TimerService timer;
  private final Random random;
  private final TreeMap<String, StoredRow> rows = new TreeMap<>();
  private long version;

  /** Creates an empty store. */
  public InMemoryStore(TimerService timer, Random random) {
    this.timer = timer;
    this.random = random;
  }

  /** Returns a client of the store for one process, subject to its simulated faults. */
  public FleetStore clientOf(ProcessLifecycle life) {
    return new Client(life);
  }

  private final class Client implements FleetStore {
    private final ProcessLifecycle life;

    Client(ProcessLifecycle life) {
      this.life = life;
    }

    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      CompletableFuture<StoreRead> answer = new CompletableFuture<>();
      if (life.storeUnreachable) {
        completeLater(answer, 10, new StoreRead.Failed("cut"));
        return answer;
      }
      timer.after(
          delayMillis(),
          () -> {
            List<StoredRow> present = rows.values().stream().filter(row -> !row.removed()).toList();
            completeLater(
                answer,
                delayMillis(),
                new StoreRead.Page(new RowPage(present, version, timer.nowMillis())));
          });
      return answer;
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, long sinceVersion, long waitMillis) {
      throw new UnsupportedOperationException("change feeds are not supported");
    }

    @Override
    public StoreVersion newestVersion() {
      return new StoreVersion(0, version);
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      CompletableFuture<StoreCommit> answer = new CompletableFuture<>();
      if (life.isDead()) {
        return answer;
      }
      if (life.storeUnreachable) {
        completeLater(answer, 10, new StoreCommit.Refused("cut"));
        return answer;
      }
      boolean lost = random.nextDouble() < life.lostAnswerShare;
      long arriveMillis =
          lost && random.nextBoolean()
              ? 1_000 + random.nextLong(MAX_LATE_MILLIS - 1_000)
              : delayMillis();
      timer.after(
          arriveMillis,
          () -> {
            StoreCommit outcome = apply(transaction);
            if (!lost) {
              completeLater(answer, delayMillis(), outcome);
            }
          });
      if (lost) {
        completeLater(answer, ANSWER_TIMEOUT_MILLIS, new StoreCommit.Unknown("lost"));
      }
      return answer;
    }

    private <T> void completeLater(CompletableFuture<T> answer, long millis, T value) {
      timer.after(millis, () -> life.run(() -> answer.complete(value)));
    }
  }

  private long delayMillis() {
    return 1 + random.nextInt(20);
  }

  private StoreCommit apply(RowTransaction transaction) {
    for (RowTransaction.Condition condition : transaction.conditions()) {
      long found =
          Optional.ofNullable(rows.get(condition.key()))
              .filter(row -> !row.removed())
              .map(StoredRow::version)
              .orElse(0L);
      if (found != condition.version()) {
        return new StoreCommit.Conflict(List.of());
      }
    }
    version++;
    for (RowTransaction.Write write : transaction.writes()) {
      rows.put(write.key(), new StoredRow(write.key(), write.text(), version, false));
    }
    for (String key : transaction.removals()) {
      rows.computeIfPresent(key, (same, row) -> new StoredRow(key, "", version, true));
    }
    return new StoreCommit.Committed(version, timer.nowMillis());
  }

  /** Returns the texts of all rows by key. */
  public Map<String, String> texts() {
    Map<String, String> texts = new TreeMap<>();
    rows.forEach((key, row) -> texts.put(key, row.text()));
    return texts;
  }
}
