package org.limpetvale.forward.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Passes on whole events of a stream and remembers the id of the last one, so that a stream that
 * breaks off in the middle of an event can go on at another upstream.
 */
final class EventStreamBuffer {
  private static final byte[] EMPTY = new byte[0];
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();

  /**
   * Takes bytes of the stream.
   *
   * @return the bytes of all events that are complete now
   */
  byte[] append(byte[] bytes) {
    partial.writeBytes(bytes);
    byte[] held = partial.toByteArray();
    int end = endOfLastEvent(held);
    if (end == 0) {
      return EMPTY;
    }
    byte[] whole = java.util.Arrays.copyOf(held, end);
    partial.reset();
    partial.write(held, end, held.length - end);
    recordLastId(whole);
    return whole;
  }

  /** Returns the bytes of an event that has not ended, and drops them. */
  byte[] drainPartial() {
    byte[] rest = partial.toByteArray();
    partial.reset();
    return rest;
  }

  /** Returns the id of the last whole event. */
  Optional<String> lastId() {
    return lastId;
  }

  private static int endOfLastEvent(byte[] bytes) {
    for (int i = bytes.length - 1; i > 0; i--) {
      boolean newline = bytes[i] == '\n' && bytes[i - 1] == '\n';
      boolean crlf = i > 2 && bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n';
      if (newline || crlf) {
        return i + 1;
      }
    }
    return 0;
  }

  private void recordLastId(byte[] events) {
    String text = new String(events, StandardCharsets.UTF_8);
    int at = text.lastIndexOf("\n" + ID_FIELD);
    int start = at >= 0 ? at + 1 : (text.startsWith(ID_FIELD) ? 0 : -1);
    if (start < 0) {
      return;
    }
    int end = text.indexOf('\n', start);
    String value = text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end);
    lastId = Optional.of(value.trim());
  }
}
