package org.limpetvale.forward.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import org.junit.jupiter.api.Test;

final class ReceiveLimitTest {
  private static final int MAX_BYTES = 1_000;

  private final ReceiveLimit limit = ReceiveLimit.of(MAX_BYTES);
  private final EmbeddedChannel channel = new EmbeddedChannel(limit);

  private void receive(int bytes) {
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  @Test
  void progressResetsTheByteCount() {
    for (int i = 0; i < 20; i++) {
      receive(MAX_BYTES);
      limit.recordProgress();
    }
    assertThat(channel.inboundMessages()).hasSize(20);
  }

  @Test
  void bytesBeyondTheLimitAreDroppedAndReportedOnce() {
    receive(MAX_BYTES);
    assertThatThrownBy(() -> receive(1)).isInstanceOf(TooLongFrameException.class);
    receive(1);
    assertThat(channel.inboundMessages()).hasSize(1);
  }

  @Test
  void whereNoBytesAreAllowedTheFirstIsReported() {
    limit.allowNone();
    assertThatThrownBy(() -> receive(1)).isInstanceOf(TooLongFrameException.class);
    limit.recordProgress();
    receive(MAX_BYTES);
    assertThat(channel.inboundMessages()).hasSize(1);
  }
}
