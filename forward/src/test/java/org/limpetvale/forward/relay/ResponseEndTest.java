package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.forward.relay.ResponseEnd.BrokenOff;
import org.limpetvale.forward.relay.ResponseEnd.Complete;
import org.limpetvale.forward.relay.ResponseEnd.Signal;
import org.limpetvale.forward.relay.ResponseListener.FailureReason;

final class ResponseEndTest {
  private static Optional<EventStreamScanner> stream(String text) {
    EventStreamScanner scanner = EventStreamScanner.ofDeclared();
    text.chars().forEach(each -> scanner.accept((byte) each));
    return Optional.of(scanner);
  }

  @Test
  void aBodyWithoutEventsIsCompleteWhereItsFramingOrItsUpstreamEndsIt() {
    assertThat(ResponseEnd.of(Signal.FRAMING, Optional.empty(), false)).isEqualTo(Complete.FRAMED);
    assertThat(ResponseEnd.of(Signal.UPSTREAM_CLOSE, Optional.empty(), false))
        .isEqualTo(Complete.CLOSED_BY_UPSTREAM);
  }

  @Test
  void anEndOfTheConnectionThatTheUpstreamDidNotOrderEndsNothing() {
    assertThat(ResponseEnd.of(Signal.CONNECTION_END, Optional.empty(), true))
        .isInstanceOf(BrokenOff.class);
    assertThat(ResponseEnd.of(Signal.CONNECTION_END, stream("data: a\n\n"), true))
        .isInstanceOf(BrokenOff.class);
  }

  @Test
  void aCloseWithinTheRequestEndsNothing() {
    for (boolean mayBeEmpty : new boolean[] {true, false}) {
      assertThat(ResponseEnd.of(Signal.CLOSE_WITHIN_REQUEST, Optional.empty(), mayBeEmpty))
          .isInstanceOf(BrokenOff.class);
      assertThat(ResponseEnd.of(Signal.CLOSE_WITHIN_REQUEST, stream("data: a\n\n"), mayBeEmpty))
          .isInstanceOf(BrokenOff.class);
    }
  }

  @Test
  void aStreamThatEndsWithinAnEventIsBrokenOffWhateverEndedIt() {
    for (Signal signal : Signal.values()) {
      assertThat(ResponseEnd.of(signal, stream("data: a\n\ndata: b\n"), true))
          .isInstanceOf(BrokenOff.class);
    }
  }

  @Test
  void aFramedStreamThatEndsWithinAnEventIsNoLostConnection() {
    ResponseEnd end = ResponseEnd.of(Signal.FRAMING, stream("data: a"), false);
    assertThat(((BrokenOff) end).reason()).isEqualTo(FailureReason.SPOILED);
  }

  @Test
  void aStreamClosedBeforeItsFirstEventIsBrokenOffUnlessItContinuesAnother() {
    assertThat(ResponseEnd.of(Signal.UPSTREAM_CLOSE, stream(": hello\n\n"), false))
        .isInstanceOf(BrokenOff.class);
    assertThat(ResponseEnd.of(Signal.UPSTREAM_CLOSE, stream(""), true))
        .isEqualTo(Complete.CLOSED_BY_UPSTREAM);
    assertThat(ResponseEnd.of(Signal.FRAMING, stream(""), false)).isEqualTo(Complete.FRAMED);
  }

  private static Optional<EventStreamScanner> undeclared(String text) {
    EventStreamScanner scanner = EventStreamScanner.ofUndeclared();
    for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
      scanner.accept(each);
    }
    return Optional.of(scanner);
  }

  @Test
  void aFramedBodyOfNoTypeThatHasNoFieldOfEventsIsWhole() {
    assertThat(ResponseEnd.of(Signal.FRAMING, undeclared("{\"a\":1}"), false))
        .isEqualTo(Complete.FRAMED);
    assertThat(ResponseEnd.of(Signal.FRAMING, stream("{\"a\":1}"), false))
        .isInstanceOf(ResponseEnd.BrokenOff.class);
    assertThat(ResponseEnd.of(Signal.UPSTREAM_CLOSE, undeclared("{\"a\":1}"), false))
        .isInstanceOf(ResponseEnd.BrokenOff.class);
    for (String cut :
        new String[] {"d", "dat", "data: a", "id: 1\nda", ": comment", "retry: 5", "\ndata"}) {
      assertThat(ResponseEnd.of(Signal.FRAMING, undeclared(cut), false))
          .as(cut)
          .isInstanceOf(ResponseEnd.BrokenOff.class);
    }
  }
}
