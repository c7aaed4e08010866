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

/** Holds usage records on behalf of entries until the entries have written them to the table. */
final class UsageRecordBuffer {
  /** Time without a heartbeat after which a writer counts as lost, in milliseconds. */
  private static final long WRITER_TIMEOUT_MILLIS = 10_000;

  private final TimerService timer;
  private final Map<String, Writer> writers = new ConcurrentHashMap<>();

  UsageRecordBuffer(TimerService timer) {
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  private static final class Writer {
    private final Map<String, UsageRecord> records = new LinkedHashMap<>();
    private long lastContactMillis;
  }

  /** Adds the usage record of an answer that its entry has delivered to the caller. */
  void add(Delivered delivered) {
    Writer writer = writer(delivered.getWriterId());
    synchronized (writer) {
      writer.records.put(delivered.getRecord().getRecordId(), delivered.getRecord());
      writer.lastContactMillis = timer.nowMillis();
    }
  }

  /** Records a heartbeat of a writer and drops the records that it has written to the table. */
  void acknowledge(String writerId, Collection<String> flushedIds) {
    Writer writer = writers.get(writerId);
    if (writer == null) {
      return;
    }
    synchronized (writer) {
      flushedIds.forEach(writer.records::remove);
      writer.lastContactMillis = timer.nowMillis();
    }
  }

  /** Returns the lost writers that still have records here. */
  List<String> orphanedWriters() {
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

  /** Removes a writer and its records. */
  void remove(String writerId) {
    writers.remove(writerId);
  }

  private Writer writer(String writerId) {
    return writers.computeIfAbsent(writerId, ignored -> new Writer());
  }

  private static boolean isOrphaned(Writer writer, long nowMillis) {
    synchronized (writer) {
      return !writer.records.isEmpty()
          && nowMillis - writer.lastContactMillis > WRITER_TIMEOUT_MILLIS;
    }
  }
}
