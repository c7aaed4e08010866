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
 * Writes one JSON line for each event.
 *
 * <p>Events are queued and written by a thread of their own. Events beyond the rate, or that find
 * the queue full, are dropped and counted; the count is a line of its own. Lines of decisions and
 * lines of state changes have separate rates, so that load does not push out the rare lines.
 */
public final class EventLog implements AutoCloseable {
  private static final int MOST_QUEUED = 4_000;
  private static final int MOST_DECISIONS_PER_SECOND = 250;
  private static final int MOST_CHANGES_PER_SECOND = 60;
  private static final long WRITE_PERIOD_MILLIS = 200;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final JsonFactory JSON = new JsonFactory();

  private final OutputStream out;
  private final String process;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MOST_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private final Rate decisions = new Rate(MOST_DECISIONS_PER_SECOND);
  private final Rate changes = new Rate(MOST_CHANGES_PER_SECOND);
  private final Thread writer;
  private volatile boolean closed;

  private EventLog(OutputStream out, String process) {
    this.out = Objects.requireNonNull(out, "out is null");
    this.process = Objects.requireNonNull(process, "process is null");
    this.writer = Thread.ofPlatform().daemon().name("event-log").unstarted(this::writeLoop);
  }

  /**
   * Returns a running log.
   *
   * @param out where lines go
   * @param process name of the process, on each line
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

  /** Logs a decision on a request. */
  public void decision(String event, String requestId, Field... fields) {
    if (decisions.allows()) {
      offer(line(event, requestId, fields));
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Logs a change of what the process believes, or of its life. */
  public void stateChange(String event, Field... fields) {
    if (changes.allows()) {
      offer(line(event, "", fields));
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Writes what is queued and stops. */
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
      throw new UncheckedIOException("a log line could not be built", e);
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
  }

  private void writeBatch(List<String> batch) {
    queue.drainTo(batch);
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      batch.add(line("log_dropped", "", field("lines", lost)));
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

  /** A count of lines in the running second. */
  private static final class Rate {
    private final int mostPerSecond;
    private long second;
    private int count;

    Rate(int mostPerSecond) {
      this.mostPerSecond = mostPerSecond;
    }

    synchronized boolean allows() {
      long now = System.nanoTime() / SECOND_NANOS;
      if (now != second) {
        second = now;
        count = 0;
      }
      return ++count <= mostPerSecond;
    }
  }
}
