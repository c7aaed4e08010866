package org.limpetvale.forward.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds back incomplete events of a stream and remembers the id of the last complete one, so that a
 * stream that is interrupted within an event can be resumed at another upstream. Of a resumed
 * stream, it checks that it goes on behind the event that it was asked to follow: its first event
 * has an id, and none has that event's id or an earlier one.
 */
final class EventStreamBuffer {
  private static final byte[] EMPTY = new byte[0];
  private static final String ID_FIELD = "id:";
  private static final char COMMENT = ':';
  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private final EventStreamScanner scanner = EventStreamScanner.ofDeclared();
  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private final Optional<String> resumedAfter;
  private Optional<String> lastId;

  /** Whether the last complete event has an id of its own. */
  private boolean lastEventIdentified = true;

  private boolean startsAgain;

  /**
   * Whether the first event of a resumed stream has no id; none of the stream is passed on then.
   */
  private boolean beginsUnidentified;

  private boolean hasEvent;

  /** The id in the event whose lines are being read. */
  private Optional<String> idInEvent = Optional.empty();

  private boolean eventHasField;

  private EventStreamBuffer(Optional<String> resumedAfter) {
    this.resumedAfter = resumedAfter;
    this.lastId = resumedAfter;
  }

  /** Returns a buffer for a stream from its beginning, or from where the caller asked for it. */
  static EventStreamBuffer empty() {
    return new EventStreamBuffer(Optional.empty());
  }

  /** Returns a buffer for a stream that is to go on behind an event, if one is given. */
  static EventStreamBuffer resumedAfter(Optional<String> eventId) {
    return new EventStreamBuffer(eventId);
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
    new String(complete, StandardCharsets.UTF_8).lines().forEach(this::readLine);
    return complete;
  }

  /** Returns the bytes that are held back; none if the response ended between two events. */
  byte[] remainder() {
    return partial.toByteArray();
  }

  /**
   * Returns the id of the last complete event, or of the one that the stream is to go on behind.
   */
  Optional<String> lastId() {
    return beginsUnidentified ? resumedAfter : lastId;
  }

  /**
   * Returns whether the stream can be resumed behind its last complete event: another stream would
   * repeat an event that has no id, or the id of the event before it. Nor can one that starts again
   * itself: some of its events may have been passed on.
   */
  boolean canBeResumed() {
    return beginsUnidentified || lastEventIdentified && !startsAgain;
  }

  /** Describes why a resumed stream is not the rest of the one before it; empty if it may be. */
  Optional<String> discontinuity() {
    if (beginsUnidentified) {
      return Optional.of("the resumed stream begins with an event without an id");
    }
    return startsAgain ? Optional.of("the resumed stream repeats events") : Optional.empty();
  }

  /** Returns whether a resumed stream contains the event that it should follow, or earlier ones. */
  boolean startsAgain() {
    return startsAgain;
  }

  private void readLine(String text) {
    String line = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
    if (line.isEmpty()) {
      endEvent();
      return;
    }
    eventHasField |= line.charAt(0) != COMMENT;
    if (line.startsWith(ID_FIELD)) {
      idInEvent = Optional.of(line.substring(ID_FIELD.length()).strip());
    }
  }

  private void endEvent() {
    if (!eventHasField) {
      return;
    }
    beginsUnidentified |= !hasEvent && resumedAfter.isPresent() && idInEvent.isEmpty();
    hasEvent = true;
    lastEventIdentified = idInEvent.isPresent() && !idInEvent.equals(lastId);
    startsAgain |= idInEvent.isPresent() && resumedAfter.isPresent() && isNotAfterResumePoint();
    lastId = idInEvent.or(() -> lastId);
    idInEvent = Optional.empty();
    eventHasField = false;
  }

  private boolean isNotAfterResumePoint() {
    String id = idInEvent.orElseThrow();
    String point = resumedAfter.orElseThrow();
    try {
      return Long.parseLong(id) <= Long.parseLong(point);
    } catch (NumberFormatException e) {
      return id.equals(point);
    }
  }
}
