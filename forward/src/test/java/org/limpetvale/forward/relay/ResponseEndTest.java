package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetvale.forward.relay.ResponseEnd.BrokenOff;
import org.limpetvale.forward.relay.ResponseEnd.Complete;
import org.limpetvale.forward.relay.ResponseEnd.Signal;
import org.limpetvale.forward.relay.ResponseListener.FailureReason;

final class ResponseEndTest {
  private static Optional<EventStreamScanner> stream(String text) {
    EventStreamScanner scanner = new EventStreamScanner();
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
}
