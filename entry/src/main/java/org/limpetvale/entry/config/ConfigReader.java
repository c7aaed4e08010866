package org.limpetvale.entry.config;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.ports.ObjectStore;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;

/** Reads the newest configuration snapshot and the changes that follow it from the platform. */
public final class ConfigReader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAGE_SIZE = 500;

  /** Number of missing versions above which the newest snapshot is read first. */
  private static final long SNAPSHOT_THRESHOLD = 2000;

  private final Table table;
  private final ObjectStore objects;
  private final ConfigHolder holder;
  private final ConfigFreshness freshness;
  private final TimerService timer;

  private ConfigReader(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigFreshness freshness,
      TimerService timer) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.objects = Objects.requireNonNull(objects, "objects is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Returns a reader that installs what it reads into a holder. */
  public static ConfigReader of(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigFreshness freshness,
      TimerService timer) {
    return new ConfigReader(table, objects, holder, freshness, timer);
  }

  /**
   * Updates the current configuration to the newest version in the table.
   *
   * @return whether the table confirmed that the configuration is current
   */
  public synchronized boolean refresh() {
    long startMillis = timer.nowMillis();
    Optional<Optional<Row>> head = table.get(ConfigRows.HEAD).toOptional();
    if (head.isEmpty()) {
      return false;
    }
    long newest =
        head.get()
            .map(row -> JsonCodec.readStored(row.value(), ConfigRows.Head.class).version())
            .orElse(0L);
    if (newest - holder.current().version() > SNAPSHOT_THRESHOLD) {
      readSnapshot();
    }
    while (holder.current().version() < newest) {
      if (!readChanges()) {
        return false;
      }
    }
    freshness.recordConfirmation(startMillis);
    return true;
  }

  private boolean readChanges() {
    long version = holder.current().version();
    String after = ConfigRows.changeKey(version);
    ReadResult<List<Row>> read = table.scan(ConfigRows.CHANGES, after, PAGE_SIZE);
    if (!(read instanceof ReadResult.Success<List<Row>>(List<Row> rows)) || rows.isEmpty()) {
      return false;
    }
    List<ChangeRecord> changes = new ArrayList<>();
    rows.forEach(row -> changes.add(JsonCodec.readStored(row.value(), ChangeRecord.class)));
    holder.install(changes);
    return holder.current().version() > version;
  }

  private void readSnapshot() {
    Optional<Row> pointer = table.get(ConfigRows.SNAPSHOT).toOptional().flatMap(row -> row);
    if (pointer.isEmpty()) {
      return;
    }
    String object =
        JsonCodec.readStored(pointer.get().value(), ConfigRows.SnapshotPointer.class).object();
    Optional<String> content = objects.get(object).toOptional().flatMap(found -> found);
    content.ifPresentOrElse(
        json -> holder.install(JsonCodec.readStored(json, ConfigState.class)),
        () -> logger.atWarning().log("snapshot %s cannot be read; reading the changes", object));
  }
}
