package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StatusCodeTest {
  private static boolean isReadable(String status) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new UpstreamResponseDecoder(new HttpDecoderConfig()));
    String text = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n";
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    HttpObject first = channel.readInbound();
    channel.finishAndReleaseAll();
    return first.decoderResult().isSuccess();
  }

  @Test
  void exactlyTheCodesOfThreeDigitsFrom100To599Exist() {
    for (int value = -1; value <= 10_000; value++) {
      boolean exists = value >= 100 && value <= 599;
      assertThat(isReadable(Integer.toString(value))).as("%s", value).isEqualTo(exists);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"000", "001", "099", "+200", "-200", "0200", "00200", "2OO", "٢٠٠", "20x"})
  void whatIsNotThreeDigitsIsNoCode(String text) {
    assertThat(isReadable(text)).isFalse();
    assertThatThrownBy(() -> StatusCode.decode(text)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void successesAreTheCodesOfTheirClass() {
    for (int value = 100; value <= 599; value++) {
      StatusCode status = new StatusCode(value);
      assertThat(status.isSuccess()).as("%s", value).isEqualTo(value >= 200 && value <= 299);
      assertThat(status.isServerError()).as("%s", value).isEqualTo(value >= 500);
      assertThat(status.isInterim()).as("%s", value).isEqualTo(value < 200 && value != 101);
    }
  }
}
