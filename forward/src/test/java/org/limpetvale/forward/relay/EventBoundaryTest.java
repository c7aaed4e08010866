package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventBoundaryTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void onlyWholeEventsArePassedOnHoweverTheBytesAreCut() {
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= 30; i++) {
      stream.append("id: ").append(i).append("\ndata: part ").append(i).append("\n\n");
    }
    byte[] all = bytes(stream + "id: 31\nda");
    for (long seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      EventStreamBuffer boundary = new EventStreamBuffer();
      StringBuilder passed = new StringBuilder();
      for (int at = 0; at < all.length; ) {
        int length = Math.min(all.length - at, 1 + random.nextInt(60));
        byte[] whole = boundary.append(java.util.Arrays.copyOfRange(all, at, at + length));
        passed.append(new String(whole, StandardCharsets.UTF_8));
        at += length;
      }
      assertThat(passed.toString()).isEqualTo(stream.toString());
      assertThat(boundary.lastId()).contains("30");
    }
  }

  @Test
  void carriageReturnsEndEventsToo() {
    EventStreamBuffer boundary = new EventStreamBuffer();
    assertThat(boundary.append(bytes("id: 1\r\ndata: a\r\n\r\nid: 2"))).hasSize(18);
    assertThat(boundary.lastId()).contains("1");
  }

  @Test
  void theRestOfAStreamThatEndsWithoutABoundaryIsNotLost() {
    EventStreamBuffer boundary = new EventStreamBuffer();
    assertThat(boundary.append(bytes("data: last"))).isEmpty();
    assertThat(boundary.drainPartial()).isEqualTo(bytes("data: last"));
    assertThat(boundary.drainPartial()).isEmpty();
  }
}
