package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventStreamScannerTest {
  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private static EventStreamScanner scan(String text) {
    EventStreamScanner scanner = EventStreamScanner.ofDeclared();
    for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
      scanner.accept(each);
    }
    return scanner;
  }

  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n", "\r"})
  void aBlankLineEndsAnEventWhateverEndsTheLines(String lineEnd) {
    String event = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
    assertThat(scan(event).isBetweenEvents()).isTrue();
    assertThat(scan(event + event).events()).isEqualTo(2);
    for (int length = 1; length < event.length() - 1; length++) {
      assertThat(scan(event.substring(0, length)).isBetweenEvents()).as(lineEnd + length).isFalse();
    }
  }

  @Test
  void aBlankLineCutBetweenCarriageReturnAndLineFeedEndsItsEventOnce() {
    EventStreamScanner scanner = scan("data: a\r\n\r");
    assertThat(scanner.isBetweenEvents()).isTrue();
    scanner.accept((byte) '\n');
    assertThat(scanner.isBetweenEvents()).isTrue();
    assertThat(scanner.events()).isEqualTo(1);
  }

  @Test
  void theEndOfACommentLineDoesNotEndItsBlock() {
    assertThat(scan(": a comment").isBetweenEvents()).isFalse();
    assertThat(scan(": a comment\n").isBetweenEvents()).isFalse();
    assertThat(scan(": a comment\n\n").isBetweenEvents()).isTrue();
  }

  @Test
  void commentsAndBlankLinesAreNoEvents() {
    assertThat(scan("\n\n: a comment\n\n\n").events()).isZero();
    assertThat(scan(": a comment\ndata: a\n\n").events()).isEqualTo(1);
  }

  @Test
  void aByteOrderMarkIsNoPartOfTheFirstEvent() {
    assertThat(scan(BYTE_ORDER_MARK).isBetweenEvents()).isTrue();
    assertThat(scan(BYTE_ORDER_MARK + "\n").events()).isZero();
    assertThat(scan(BYTE_ORDER_MARK + "data: a\n\n").events()).isEqualTo(1);
    assertThat(scan("data: " + BYTE_ORDER_MARK).isBetweenEvents()).isFalse();
  }

  @Test
  void theBytesOfTheCurrentEventAreCounted() {
    assertThat(scan("data: a\n\n").eventBytes()).isZero();
    assertThat(scan("data: a\n\ndata").eventBytes()).isEqualTo(4);
  }
}
