package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/**
 * Limits on the body of one response, so that an upstream that never ends it does not hold its
 * caller indefinitely.
 */
final class ResponseLimits {
  /** Maximum size of a body without a Content-Length. */
  static final long MAX_UNSIZED_BYTES = 16L * 1024 * 1024;

  /**
   * Maximum number of parts of a body without a Content-Length; each part costs time however short
   * it is.
   */
  static final int MAX_UNSIZED_PARTS = 50_000;

  /** Maximum size of one event of an event stream. */
  static final long MAX_EVENT_BYTES = 1024L * 1024;

  private final boolean unsized;
  private final Optional<EventStreamScanner> events;
  private long bodyBytes;
  private int parts;

  private ResponseLimits(boolean unsized, Optional<EventStreamScanner> events) {
    this.unsized = unsized;
    this.events = events;
  }

  /** Returns the limits that apply to a response with the given header. */
  static ResponseLimits of(HttpResponse response, boolean eventStream) {
    return new ResponseLimits(
        !HttpUtil.isContentLengthSet(response),
        eventStream ? Optional.of(scanner(response)) : Optional.empty());
  }

  private static EventStreamScanner scanner(HttpResponse response) {
    return response.headers().contains(HttpHeaderNames.CONTENT_TYPE)
        ? EventStreamScanner.ofDeclared()
        : EventStreamScanner.ofUndeclared();
  }

  /**
   * Counts a part of the body and describes the limit that it exceeds; empty if it exceeds none.
   */
  Optional<String> exceededBy(ByteBuf part) {
    bodyBytes += part.readableBytes();
    parts++;
    if (unsized && (bodyBytes > MAX_UNSIZED_BYTES || parts > MAX_UNSIZED_PARTS)) {
      return Optional.of(
          "a body without a length goes on after " + bodyBytes + " bytes in " + parts + " parts");
    }
    if (events.isPresent() && longestEventBytes(events.get(), part) > MAX_EVENT_BYTES) {
      return Optional.of("an event goes on after " + MAX_EVENT_BYTES + " bytes");
    }
    return Optional.empty();
  }

  /** Returns the size of the longest event that the part continues or contains. */
  private static long longestEventBytes(EventStreamScanner scanner, ByteBuf part) {
    long longest = scanner.eventBytes();
    for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
      scanner.accept(part.getByte(i));
      longest = Math.max(longest, scanner.eventBytes());
    }
    return longest;
  }

  /** Returns the progress of the events; empty if the response is not an event stream. */
  Optional<EventStreamScanner> events() {
    return events;
  }
}
