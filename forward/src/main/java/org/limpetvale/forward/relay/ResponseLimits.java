package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/**
 * Bounds on the body of one answer, so that an upstream that never ends it does not keep its
 * caller.
 */
final class ResponseLimits {
  /** Bytes of a body whose length is not stated. */
  static final long MAX_UNSIZED_BYTES = 16L * 1024 * 1024;

  /** Parts of such a body, as each costs time however short it is. */
  static final int MAX_UNSIZED_PARTS = 50_000;

  /** Bytes of one event of a stream. */
  static final long MAX_EVENT_BYTES = 1024L * 1024;

  private static final String EVENT_STREAM = "text/event-stream";

  private final boolean unsized;
  private final boolean eventStream;
  private long bodyBytes;
  private int parts;
  private long eventBytes;

  /** Whether the last byte that counts ended a line. */
  private boolean atLineStart = true;

  private ResponseLimits(boolean open, boolean events) {
    this.unsized = open;
    this.eventStream = events;
  }

  /** Returns the bounds of an answer with a header. */
  static ResponseLimits of(HttpResponse answer) {
    String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return new ResponseLimits(
        !HttpUtil.isContentLengthSet(answer),
        type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length()));
  }

  /** Counts a part of the body, and tells which bound it passes; empty while it passes none. */
  Optional<String> exceededBy(ByteBuf part) {
    bodyBytes += part.readableBytes();
    parts++;
    if (unsized && (bodyBytes > MAX_UNSIZED_BYTES || parts > MAX_UNSIZED_PARTS)) {
      return Optional.of(
          "a body without a length goes on after " + bodyBytes + " bytes in " + parts + " parts");
    }
    if (eventStream && longestEventBytes(part) > MAX_EVENT_BYTES) {
      return Optional.of("an event goes on after " + MAX_EVENT_BYTES + " bytes");
    }
    return Optional.empty();
  }

  /** Returns the bytes of the longest event that the part belongs to or holds. */
  private long longestEventBytes(ByteBuf part) {
    long longest = eventBytes;
    for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
      byte each = part.getByte(i);
      eventBytes++;
      if (each == '\n') {
        eventBytes = atLineStart ? 0 : eventBytes;
        atLineStart = true;
      } else if (each != '\r') {
        atLineStart = false;
      }
      longest = Math.max(longest, eventBytes);
    }
    return longest;
  }
}
