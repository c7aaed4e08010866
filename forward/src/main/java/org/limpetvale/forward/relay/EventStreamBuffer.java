package org.limpetvale.forward.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds back incomplete events of a stream and remembers the id of the last complete one, so that a
 * stream that is interrupted within an event can be resumed at another upstream.
 */
final class EventStreamBuffer {
  private static final byte[] EMPTY = new byte[0];
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();

  /**
   * Appends bytes of the stream.
   *
   * @return the bytes of all events that have become complete
   */
  byte[] append(byte[] bytes) {
    partial.writeBytes(bytes);
    byte[] buffered = partial.toByteArray();
    int end = endOfLastEvent(buffered);
    if (end == 0) {
      return EMPTY;
    }
    byte[] complete = java.util.Arrays.copyOf(buffered, end);
    partial.reset();
    partial.write(buffered, end, buffered.length - end);
    recordLastId(complete);
    return complete;
  }

  /** Removes and returns the bytes of the incomplete event. */
  byte[] drainPartial() {
    byte[] remainder = partial.toByteArray();
    partial.reset();
    return remainder;
  }

  /** Returns the id of the last complete event. */
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
    int lineFeed = text.lastIndexOf("\n" + ID_FIELD);
    int start = lineFeed >= 0 ? lineFeed + 1 : (text.startsWith(ID_FIELD) ? 0 : -1);
    if (start < 0) {
      return;
    }
    int end = text.indexOf('\n', start);
    String value = text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end);
    lastId = Optional.of(value.trim());
  }
}
