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
  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private final EventStreamScanner scanner = new EventStreamScanner();
  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();

  /** Returns a buffer that holds nothing. */
  static EventStreamBuffer empty() {
    return new EventStreamBuffer();
  }

  /**
   * Appends bytes of the stream.
   *
   * @return the bytes of all events that have become complete
   */
  byte[] append(byte[] bytes) {
    int end = 0;
    for (int i = 0; i < bytes.length; i++) {
      end = scanner.accept(bytes[i]) ? i + 1 : end;
    }
    if (end == 0) {
      partial.writeBytes(bytes);
      return EMPTY;
    }
    partial.write(bytes, 0, end);
    byte[] complete = partial.toByteArray();
    partial.reset();
    partial.write(bytes, end, bytes.length - end);
    recordIds(complete);
    return complete;
  }

  /** Returns the id of the last complete event. */
  Optional<String> lastId() {
    return lastId;
  }

  private void recordIds(byte[] events) {
    String text = new String(events, StandardCharsets.UTF_8);
    text.lines().map(EventStreamBuffer::withoutMark).forEach(this::recordLine);
  }

  private static String withoutMark(String line) {
    return line.startsWith(BYTE_ORDER_MARK) ? line.substring(1) : line;
  }

  private void recordLine(String line) {
    if (line.startsWith(ID_FIELD)) {
      lastId = Optional.of(line.substring(ID_FIELD.length()).strip());
    }
  }
}
