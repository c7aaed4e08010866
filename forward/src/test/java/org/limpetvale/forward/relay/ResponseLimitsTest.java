package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class ResponseLimitsTest {
  private static final ByteBuf MEBIBYTE = Unpooled.wrappedBuffer(new byte[1024 * 1024]);

  private static HttpResponse response() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  @Test
  void aBodyWithAContentLengthMayHaveAnySize() {
    HttpResponse response = response();
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 512L * 1024 * 1024);
    ResponseLimits limits = ResponseLimits.of(response, false);
    for (int i = 0; i < 512; i++) {
      assertThat(limits.exceededBy(MEBIBYTE)).isEmpty();
    }
  }

  @Test
  void aBodyWithoutAContentLengthIsLimitedInSize() {
    ResponseLimits limits = ResponseLimits.of(response(), false);
    for (int i = 0; i < ResponseLimits.MAX_UNSIZED_BYTES / MEBIBYTE.readableBytes(); i++) {
      assertThat(limits.exceededBy(MEBIBYTE)).isEmpty();
    }
    assertThat(limits.exceededBy(MEBIBYTE)).isPresent();
  }

  @Test
  void aBodyWithoutAContentLengthIsLimitedInItsNumberOfParts() {
    ResponseLimits limits = ResponseLimits.of(response(), false);
    ByteBuf tiny = text("a");
    for (int i = 0; i < ResponseLimits.MAX_UNSIZED_PARTS; i++) {
      assertThat(limits.exceededBy(tiny)).isEmpty();
    }
    assertThat(limits.exceededBy(tiny)).isPresent();
  }

  @Test
  void aSingleEventIsLimitedInSizeAndManyEventsAreNot() {
    ResponseLimits limits = ResponseLimits.of(response(), true);
    String half = "data: " + "x".repeat((int) (ResponseLimits.MAX_EVENT_BYTES / 2)) + "\n";
    for (int i = 0; i < 10; i++) {
      assertThat(limits.exceededBy(text(half + "\r\n"))).as("a complete event").isEmpty();
    }
    assertThat(limits.exceededBy(text(half))).isEmpty();
    assertThat(limits.exceededBy(text(half))).isPresent();
  }
}
