package org.limpetvale.entry.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.limpetvale.ports.Commit;
import org.limpetvale.ports.Read;
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
  public Read<Optional<Row>> get(String key) {
    return isFaulty()
        ? new Read.Unavailable<>("out")
        : new Read.Found<>(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public Read<List<Row>> scan(String prefix, String after, int limit) {
    if (isFaulty()) {
      return new Read.Unavailable<>("out");
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
    return new Read.Found<>(List.copyOf(found));
  }

  @Override
  public Commit commit(Transaction transaction) {
    if (down) {
      return new Commit.Unavailable("out");
    }
    if (isFaulty()) {
      return random.nextBoolean()
          ? new Commit.Unavailable("refused")
          : new Commit.Unknown("lost before");
    }
    Commit result = apply(transaction);
    return isFaulty() ? new Commit.Unknown("lost after") : result;
  }

  private Commit apply(Transaction transaction) {
    for (Transaction.Check check : transaction.checks()) {
      Row row = rows.get(check.key());
      if ((row == null ? 0 : row.revision()) != check.revision()) {
        return new Commit.Conflict();
      }
    }
    revision++;
    transaction
        .puts()
        .forEach(put -> rows.put(put.key(), new Row(put.key(), revision, put.value())));
    transaction.deletes().forEach(rows::remove);
    return new Commit.Committed(revision);
  }

  private boolean isFaulty() {
    return down || random.nextDouble() < faultRate;
  }
}
