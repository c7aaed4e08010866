package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventStreamBufferTest {
  private static final int LARGE_EVENT_BYTES = 1024 * 1024;

  /** The time that the callers of the tightest routes wait for a first event. */
  private static final Duration MAX_READ_TIME = Duration.ofMillis(1_200);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void onlyCompleteEventsAreForwardedHoweverTheBytesAreSplit() {
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= 30; i++) {
      stream.append("id: ").append(i).append("\ndata: part ").append(i).append("\n\n");
    }
    byte[] all = bytes(stream + "id: 31\nda");
    for (long seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      EventStreamBuffer buffer = EventStreamBuffer.empty();
      StringBuilder forwarded = new StringBuilder();
      for (int at = 0; at < all.length; ) {
        int length = Math.min(all.length - at, 1 + random.nextInt(60));
        byte[] complete = buffer.append(java.util.Arrays.copyOfRange(all, at, at + length));
        forwarded.append(new String(complete, StandardCharsets.UTF_8));
        at += length;
      }
      assertThat(forwarded.toString()).isEqualTo(stream.toString());
      assertThat(buffer.lastId()).contains("30");
    }
  }

  @Test
  void eventsMayEndWithCarriageReturnAndLineFeed() {
    EventStreamBuffer buffer = EventStreamBuffer.empty();
    assertThat(buffer.append(bytes("id: 1\r\ndata: a\r\n\r\nid: 2"))).hasSize(18);
    assertThat(buffer.lastId()).contains("1");
  }

  @Test
  void anIncompleteEventIsHeldBackUntilItsBlankLine() {
    EventStreamBuffer buffer = EventStreamBuffer.empty();
    assertThat(buffer.append(bytes("id: 1\rdata: last"))).isEmpty();
    assertThat(buffer.append(bytes("\r"))).isEmpty();
    assertThat(buffer.lastId()).isEmpty();
    assertThat(buffer.append(bytes("\r"))).isEqualTo(bytes("id: 1\rdata: last\r\r"));
    assertThat(buffer.lastId()).contains("1");
  }

  @Test
  void aLargeEventInSmallPartsIsReadInLinearTime() {
    EventStreamBuffer buffer = EventStreamBuffer.empty();
    buffer.append(bytes("id: 1\ndata: "));
    byte[] part = bytes("x");
    long startNanos = System.nanoTime();
    for (int i = 0; i < LARGE_EVENT_BYTES; i++) {
      assertThat(buffer.append(part).length).isZero();
    }
    assertThat(buffer.append(bytes("\n\n"))).hasSizeGreaterThan(LARGE_EVENT_BYTES);
    assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(MAX_READ_TIME);
  }

  @Test
  void aStreamIsResumableWhileItsLastEventHasAnIdOfItsOwn() {
    EventStreamBuffer buffer = EventStreamBuffer.empty();
    assertThat(buffer.canBeResumed()).isTrue();
    buffer.append(bytes("id: 1\ndata: a\n\n: comment\n\n"));
    assertThat(buffer.canBeResumed()).isTrue();
    buffer.append(bytes("data: b\n\n"));
    assertThat(buffer.canBeResumed()).isFalse();
    buffer.append(bytes("id: 2\n\n"));
    assertThat(buffer.canBeResumed()).isTrue();
    buffer.append(bytes("id: 2\n\n"));
    assertThat(buffer.canBeResumed()).isFalse();
  }

  @Test
  void aResumedStreamThatRepeatsEventsIsNotResumedOnceMore() {
    EventStreamBuffer buffer = EventStreamBuffer.resumedAfter(Optional.of("9"));
    buffer.append(bytes("id: 10\n\n"));
    assertThat(buffer.startsAgain()).isFalse();
    buffer.append(bytes("id: 9\n\n"));
    assertThat(buffer.startsAgain()).isTrue();
    assertThat(buffer.canBeResumed()).isFalse();
  }

  @Test
  void idsThatAreNoNumbersAreOnlyCompared() {
    EventStreamBuffer buffer = EventStreamBuffer.resumedAfter(Optional.of("b"));
    buffer.append(bytes("id: a\n\n"));
    assertThat(buffer.startsAgain()).isFalse();
    buffer.append(bytes("id: b\n\n"));
    assertThat(buffer.startsAgain()).isTrue();
  }

  @Test
  void aResumedStreamBeginsWithAnEventThatHasAnId() {
    EventStreamBuffer buffer = EventStreamBuffer.resumedAfter(Optional.of("2"));
    buffer.append(bytes(": comment\n\n"));
    assertThat(buffer.discontinuity()).isEmpty();
    buffer.append(bytes("data: an error\n\nid: 7\n\n"));
    assertThat(buffer.discontinuity()).isPresent();
    assertThat(buffer.canBeResumed()).isTrue();
    assertThat(buffer.lastId()).contains("2");
  }

  @Test
  void laterEventsOfAResumedStreamMayHaveNoId() {
    EventStreamBuffer buffer = EventStreamBuffer.resumedAfter(Optional.of("2"));
    buffer.append(bytes("id: 3\n\ndata: the end\n\n"));
    assertThat(buffer.discontinuity()).isEmpty();
    assertThat(buffer.canBeResumed()).isFalse();
  }
}
