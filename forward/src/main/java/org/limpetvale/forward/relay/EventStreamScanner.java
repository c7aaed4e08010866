package org.limpetvale.forward.relay;

import java.util.List;

/**
 * Follows the events of an event stream byte by byte. Lines end with a line feed, a carriage return
 * or both; a blank line ends an event.
 */
final class EventStreamScanner {
  /** The UTF-8 byte order mark, which may precede the first line. */
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  /** Names of fields with the colon behind; a line of an event begins with one or is a comment. */
  private static final List<String> FIELDS = List.of("data:", "event:", "id:", "retry:", ":");

  private static final int MAX_FIELD_LENGTH = 6;

  /** Whether the response states that it is an event stream. */
  private final boolean declared;

  private final StringBuilder beginning = new StringBuilder(MAX_FIELD_LENGTH);
  private int markBytes;
  private boolean markPossible = true;
  private boolean atLineStart = true;
  private boolean afterCarriageReturn;

  /** Whether the current event has a line other than comments. */
  private boolean hasField;

  private long eventBytes;
  private long events;

  private EventStreamScanner(boolean declared) {
    this.declared = declared;
  }

  /** Returns a scanner of a response that states that it is an event stream. */
  static EventStreamScanner ofDeclared() {
    return new EventStreamScanner(true);
  }

  /** Returns a scanner of a response that may be an event stream and states no type. */
  static EventStreamScanner ofUndeclared() {
    return new EventStreamScanner(false);
  }

  /**
   * Reads the next byte of the stream.
   *
   * @return whether the stream is between two events after it
   */
  boolean accept(byte next) {
    if (isByteOrderMark(next)) {
      return isBetweenEvents();
    }
    noteBeginning(next);
    if (next == '\n' && afterCarriageReturn) {
      afterCarriageReturn = false;
      return isBetweenEvents();
    }
    afterCarriageReturn = next == '\r';
    eventBytes++;
    if (next == '\n' || next == '\r') {
      endLine();
    } else {
      hasField |= atLineStart && next != ':';
      atLineStart = false;
    }
    return isBetweenEvents();
  }

  /** Notes the first characters of the first line that is not blank. */
  private void noteBeginning(byte next) {
    boolean blank = beginning.isEmpty() && (next == '\n' || next == '\r');
    if (!blank && beginning.length() < MAX_FIELD_LENGTH) {
      beginning.append((char) (next & 0xFF));
    }
  }

  private boolean isByteOrderMark(byte next) {
    if (!markPossible) {
      return false;
    }
    markPossible = markBytes < BYTE_ORDER_MARK.length && next == BYTE_ORDER_MARK[markBytes];
    markBytes++;
    return markPossible;
  }

  private void endLine() {
    if (atLineStart) {
      events += hasField ? 1 : 0;
      hasField = false;
      eventBytes = 0;
    }
    atLineStart = true;
  }

  /** Returns whether the bytes so far are those of a response that is no event stream. */
  boolean isPlain() {
    String text = beginning.toString();
    return !declared
        && !text.isEmpty()
        && FIELDS.stream().noneMatch(field -> text.startsWith(field) || field.startsWith(text));
  }

  /** Returns whether no event has begun without being ended by a blank line. */
  boolean isBetweenEvents() {
    return eventBytes == 0;
  }

  /** Returns the number of bytes of the event that has begun. */
  long eventBytes() {
    return eventBytes;
  }

  /** Returns the number of events that have ended; blocks of comments are not counted. */
  long events() {
    return events;
  }
}
