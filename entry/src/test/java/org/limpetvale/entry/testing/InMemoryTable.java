package org.limpetvale.entry.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.limpetvale.ports.CommitResult;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;

/** An in-memory table that loses responses and becomes unavailable at random, from a seed. */
public final class InMemoryTable implements Table {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final SplittableRandom random;
  private final double faultRate;
  private long revision;
  private boolean down;

  /** Creates an empty table that fails operations at the given rate. */
  public InMemoryTable(long seed, double faultRate) {
    this.random = new SplittableRandom(seed);
    this.faultRate = faultRate;
  }

  /** Makes the table unavailable or available again. */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  @Override
  public ReadResult<Optional<Row>> get(String key) {
    return isFaulty()
        ? new ReadResult.Unavailable<>("out")
        : new ReadResult.Success<>(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public ReadResult<List<Row>> scan(String prefix, String after, int limit) {
    if (isFaulty()) {
      return new ReadResult.Unavailable<>("out");
    }
    List<Row> found = new ArrayList<>();
    for (Row row : rows.tailMap(prefix, true).values()) {
      if (!row.key().startsWith(prefix) || found.size() >= limit) {
        break;
      }
      if (after.isEmpty() || row.key().compareTo(after) > 0) {
        found.add(row);
      }
    }
    return new ReadResult.Success<>(List.copyOf(found));
  }

  @Override
  public CommitResult commit(Transaction transaction) {
    if (down) {
      return new CommitResult.Unavailable("out");
    }
    if (isFaulty()) {
      return random.nextBoolean()
          ? new CommitResult.Unavailable("refused")
          : new CommitResult.Unknown("lost before");
    }
    CommitResult result = apply(transaction);
    return isFaulty() ? new CommitResult.Unknown("lost after") : result;
  }

  private CommitResult apply(Transaction transaction) {
    for (Transaction.Check check : transaction.checks()) {
      Row row = rows.get(check.key());
      if ((row == null ? 0 : row.revision()) != check.revision()) {
        return new CommitResult.Conflict();
      }
    }
    revision++;
    transaction
        .puts()
        .forEach(put -> rows.put(put.key(), new Row(put.key(), revision, put.value())));
    transaction.deletes().forEach(rows::remove);
    return new CommitResult.Committed(revision);
  }

  private boolean isFaulty() {
    return down || random.nextDouble() < faultRate;
  }
}
