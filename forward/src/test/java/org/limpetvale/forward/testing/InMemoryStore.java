package org.limpetvale.forward.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
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
 * An in-memory store with random delays, late writes, lost responses and returns from an older
 * copy, reproducible by the seed of its random generator.
 *
 * <p>Like the platform's store, it compares the numbers of versions only, whatever their era.
 */
public final class InMemoryStore {
  private static final long ANSWER_TIMEOUT_MILLIS = 1_500;
  private static final long MAX_LATE_MILLIS = 6_000;

  private final TimerService timer;
  private final Random random;
  private TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private long era;
  private boolean down;

  private record Row(String text, long version, boolean removed) {}

  /** A copy of all rows at a version of the store. */
  public static final class Copy {
    private final TreeMap<String, Row> rows;
    private final long version;

    private Copy(TreeMap<String, Row> rows, long version) {
      this.rows = rows;
      this.version = version;
    }
  }

  /** Creates an empty store. */
  public InMemoryStore(TimerService timer, Random random) {
    this.timer = timer;
    this.random = random;
  }

  /** Returns a client of the store for one process, subject to its simulated faults. */
  public FleetStore clientOf(ProcessLifecycle life) {
    return new Client(life);
  }

  /** Makes a copy of all rows. */
  public Copy copy() {
    return new Copy(new TreeMap<>(rows), version);
  }

  /** Starts or ends an outage, in which all calls are refused. */
  public void setDown(boolean unavailable) {
    down = unavailable;
  }

  /** Continues from a copy, in a new era. */
  public void returnFrom(Copy copy) {
    rows = new TreeMap<>(copy.rows);
    version = copy.version;
    era++;
  }

  private final class Client implements FleetStore {
    private final ProcessLifecycle life;
    private final List<Runnable> returnActions = new ArrayList<>();
    private StoreVersion newest = StoreVersion.NONE;

    Client(ProcessLifecycle life) {
      this.life = life;
    }

    @Override
    public CompletableFuture<StoreRead> read(RowTable table, String fromKey, String toKey) {
      CompletableFuture<StoreRead> answer = new CompletableFuture<>();
      if (life.storeUnreachable || down) {
        completeLater(answer, 10, () -> new StoreRead.Failed("cut"));
        return answer;
      }
      timer.after(
          delayMillis(),
          () -> {
            RowPage page = page();
            completeLater(answer, delayMillis(), () -> received(page));
          });
      return answer;
    }

    private StoreRead received(RowPage page) {
      return isCurrent(page.version())
          ? new StoreRead.Page(page)
          : new StoreRead.Failed("answer of an earlier era");
    }

    /** Notes the version that an answer names, and returns whether its era is the newest one. */
    private boolean isCurrent(StoreVersion named) {
      StoreVersion before = newest;
      newest = newest.isBefore(named) ? named : newest;
      if (before.isOfEarlierEraThan(named)) {
        returnActions.forEach(Runnable::run);
      }
      return !named.isOfEarlierEraThan(newest);
    }

    @Override
    public void onReturn(Runnable action) {
      returnActions.add(action);
    }

    @Override
    public CompletableFuture<StoreRead> changes(
        RowTable table, StoreVersion sinceVersion, long waitMillis) {
      throw new UnsupportedOperationException("change feeds are not supported");
    }

    @Override
    public StoreVersion newestVersion() {
      return newest;
    }

    @Override
    public CompletableFuture<StoreCommit> commit(RowTransaction transaction) {
      CompletableFuture<StoreCommit> answer = new CompletableFuture<>();
      if (life.isDead()) {
        return answer;
      }
      if (life.storeUnreachable || down) {
        completeLater(answer, 10, () -> new StoreCommit.Refused("cut"));
        return answer;
      }
      if (transaction.conditions().stream()
          .anyMatch(each -> each.version().isOfEarlierEraThan(newest))) {
        return CompletableFuture.completedFuture(new StoreCommit.Refused("earlier era"));
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
              StoreVersion named = new StoreVersion(era, version);
              completeLater(answer, delayMillis(), () -> received(outcome, named));
            }
          });
      if (lost) {
        completeLater(answer, ANSWER_TIMEOUT_MILLIS, () -> new StoreCommit.Unknown("lost"));
      }
      return answer;
    }

    private StoreCommit received(StoreCommit outcome, StoreVersion named) {
      boolean current = isCurrent(named);
      return current || !(outcome instanceof StoreCommit.Committed)
          ? outcome
          : new StoreCommit.Unknown("committed in an earlier era");
    }

    private <T> void completeLater(
        CompletableFuture<T> answer, long millis, Supplier<? extends T> value) {
      timer.after(millis, () -> life.run(() -> answer.complete(value.get())));
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
              .map(Row::version)
              .orElse(0L);
      if (found != condition.version().number()) {
        return new StoreCommit.Conflict(List.of());
      }
    }
    version++;
    for (RowTransaction.Write write : transaction.writes()) {
      rows.put(write.key(), new Row(write.text(), version, false));
    }
    for (String key : transaction.removals()) {
      rows.computeIfPresent(key, (same, row) -> new Row("", version, true));
    }
    return new StoreCommit.Committed(new StoreVersion(era, version), timer.nowMillis());
  }

  private RowPage page() {
    List<StoredRow> present = new ArrayList<>();
    rows.forEach(
        (key, row) -> {
          if (!row.removed()) {
            present.add(
                new StoredRow(key, row.text(), new StoreVersion(era, row.version()), false));
          }
        });
    return new RowPage(present, new StoreVersion(era, version), timer.nowMillis());
  }

  /** Returns the texts of all rows by key. */
  public Map<String, String> texts() {
    Map<String, String> texts = new TreeMap<>();
    rows.forEach((key, row) -> texts.put(key, row.text()));
    return texts;
  }
}
