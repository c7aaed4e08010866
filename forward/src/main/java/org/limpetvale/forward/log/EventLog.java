package org.limpetvale.forward.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON line per event.
 *
 * <p>Events are queued and written by a separate thread. Events that exceed the rate limit or find
 * the queue full are dropped, and the number of dropped lines is logged. Decisions and state
 * changes have separate rate limits, so that frequent decisions do not displace the rare state
 * changes.
 */
public final class EventLog implements AutoCloseable {
  private static final int MAX_QUEUED = 4_000;
  private static final int MAX_DECISIONS_PER_SECOND = 250;
  private static final int MAX_CHANGES_PER_SECOND = 60;
  private static final long WRITE_PERIOD_MILLIS = 200;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final JsonFactory JSON = new JsonFactory();

  private final OutputStream out;
  private final String process;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private final RateLimiter decisions = new RateLimiter(MAX_DECISIONS_PER_SECOND);
  private final RateLimiter changes = new RateLimiter(MAX_CHANGES_PER_SECOND);
  private final Thread writer;
  private volatile boolean closed;

  private EventLog(OutputStream out, String process) {
    this.out = Objects.requireNonNull(out, "out is null");
    this.process = Objects.requireNonNull(process, "process is null");
    this.writer = Thread.ofPlatform().daemon().name("event-log").unstarted(this::writeLoop);
  }

  /**
   * Returns a log whose writer thread is running.
   *
   * @param out stream that the lines are written to
   * @param process name of the process, written on each line
   */
  public static EventLog of(OutputStream out, String process) {
    EventLog log = new EventLog(out, process);
    log.writer.start();
    return log;
  }

  /** Returns a log that writes nothing. */
  public static EventLog silent() {
    return new EventLog(OutputStream.nullOutputStream(), "");
  }

  /** A field of an event. */
  public record Field(String name, Object value) {}

  /** Returns a field. */
  public static Field field(String name, Object value) {
    return new Field(name, value);
  }

  /** Logs a decision about a request. */
  public void decision(String event, String requestId, Field... fields) {
    if (decisions.tryAcquire()) {
      offer(line(event, requestId, fields));
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Logs a change of the process's state, of what it knows or of its lifecycle. */
  public void stateChange(String event, Field... fields) {
    if (changes.tryAcquire()) {
      offer(line(event, "", fields));
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Writes the queued lines and stops the writer thread. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    try {
      writer.join(WRITE_PERIOD_MILLIS * 2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void offer(String line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private String line(String event, String requestId, Field... fields) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("atMillis", System.currentTimeMillis());
      json.writeStringField("process", process);
      json.writeStringField("event", event);
      if (!requestId.isEmpty()) {
        json.writeStringField("id", requestId);
      }
      for (Field field : fields) {
        writeField(json, field);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to format a log line", e);
    }
    return text.append('\n').toString();
  }

  private static void writeField(JsonGenerator json, Field field) throws IOException {
    switch (field.value()) {
      case null -> json.writeNullField(field.name());
      case Integer number -> json.writeNumberField(field.name(), number);
      case Long number -> json.writeNumberField(field.name(), number);
      case Double number -> json.writeNumberField(field.name(), Math.round(number * 10) / 10.0);
      case Boolean flag -> json.writeBooleanField(field.name(), flag);
      default -> json.writeStringField(field.name(), field.value().toString());
    }
  }

  private void writeLoop() {
    List<String> batch = new ArrayList<>();
    while (!closed) {
      try {
        Thread.sleep(WRITE_PERIOD_MILLIS);
      } catch (InterruptedException e) {
        closed = true;
      }
      writeBatch(batch);
    }
    // Lines may have been queued while the last batch was written or before the loop began.
    writeBatch(batch);
  }

  private void writeBatch(List<String> batch) {
    queue.drainTo(batch);
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      batch.add(line("log_dropped", "", field("lines", droppedLines)));
    }
    if (batch.isEmpty()) {
      return;
    }
    try {
      out.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      dropped.addAndGet(batch.size());
    }
    batch.clear();
  }

  /** Limits the number of lines per second of the monotonic clock. */
  private static final class RateLimiter {
    private final int maxPerSecond;
    private long second;
    private int count;

    RateLimiter(int maxPerSecond) {
      this.maxPerSecond = maxPerSecond;
    }

    synchronized boolean tryAcquire() {
      long now = System.nanoTime() / SECOND_NANOS;
      if (now != second) {
        second = now;
        count = 0;
      }
      return ++count <= maxPerSecond;
    }
  }
}
