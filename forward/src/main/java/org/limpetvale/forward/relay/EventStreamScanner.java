package org.limpetvale.forward.relay;

/**
 * Follows the events of an event stream byte by byte. Lines end with a line feed, a carriage return
 * or both; a blank line ends an event.
 */
final class EventStreamScanner {
  /** The UTF-8 byte order mark, which may precede the first line. */
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  private int markBytes;
  private boolean markPossible = true;
  private boolean atLineStart = true;
  private boolean afterCarriageReturn;

  /** Whether the current event has a line other than comments. */
  private boolean hasField;

  private long eventBytes;
  private long events;

  /**
   * Reads the next byte of the stream.
   *
   * @return whether the stream is between two events after it
   */
  boolean accept(byte next) {
    if (isByteOrderMark(next)) {
      return isBetweenEvents();
    }
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
