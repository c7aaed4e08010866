package org.limpetvale.sidecar;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.Delivered;
import org.limpetvale.wire.UsageRecord;

/** Keeps the usage records of entries until they have reached the table. */
final class UsageKeeper {
  /** Silence after which a writer counts as gone, in milliseconds. */
  private static final long GONE_AFTER_MILLIS = 10_000;

  private final TimerService timer;
  private final Map<String, Writer> writers = new ConcurrentHashMap<>();

  UsageKeeper(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  private static final class Writer {
    private final Map<String, UsageRecord> records = new LinkedHashMap<>();
    private long heardMillis;
  }

  /** Keeps a record that its entry has delivered to the caller. */
  void keep(Delivered delivered) {
    Writer writer = writer(delivered.getWriterId());
    synchronized (writer) {
      writer.records.put(delivered.getRecord().getRecordId(), delivered.getRecord());
      writer.heardMillis = timer.nowMillis();
    }
  }

  /** Notes that a writer is alive and which records have reached the table. */
  void heard(String writerId, Collection<String> flushedIds) {
    Writer writer = writers.get(writerId);
    if (writer == null) {
      return;
    }
    synchronized (writer) {
      flushedIds.forEach(writer.records::remove);
      writer.heardMillis = timer.nowMillis();
    }
  }

  /** Returns the writers that are gone and have records here. */
  List<String> orphaned() {
    long nowMillis = timer.nowMillis();
    return writers.entrySet().stream()
        .filter(entry -> isOrphaned(entry.getValue(), nowMillis))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the records of a writer. */
  List<UsageRecord> records(String writerId) {
    Writer writer = writers.get(writerId);
    if (writer == null) {
      return List.of();
    }
    synchronized (writer) {
      return List.copyOf(writer.records.values());
    }
  }

  /** Forgets a writer. */
  void forget(String writerId) {
    writers.remove(writerId);
  }

  private Writer writer(String writerId) {
    return writers.computeIfAbsent(writerId, ignored -> new Writer());
  }

  private static boolean isOrphaned(Writer writer, long nowMillis) {
    synchronized (writer) {
      return !writer.records.isEmpty() && nowMillis - writer.heardMillis > GONE_AFTER_MILLIS;
    }
  }
}
