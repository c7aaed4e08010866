package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventStreamBufferTest {
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
      EventStreamBuffer buffer = new EventStreamBuffer();
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
    EventStreamBuffer buffer = new EventStreamBuffer();
    assertThat(buffer.append(bytes("id: 1\r\ndata: a\r\n\r\nid: 2"))).hasSize(18);
    assertThat(buffer.lastId()).contains("1");
  }

  @Test
  void anIncompleteLastEventIsReturnedByDrainPartial() {
    EventStreamBuffer buffer = new EventStreamBuffer();
    assertThat(buffer.append(bytes("data: last"))).isEmpty();
    assertThat(buffer.drainPartial()).isEqualTo(bytes("data: last"));
    assertThat(buffer.drainPartial()).isEmpty();
  }
}
