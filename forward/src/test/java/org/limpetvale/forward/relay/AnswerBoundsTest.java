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

final class AnswerBoundsTest {
  private static final ByteBuf MEBIBYTE = Unpooled.wrappedBuffer(new byte[1024 * 1024]);

  private static HttpResponse answer() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  @Test
  void aBodyWithAStatedLengthPassesWholeAtAnySize() {
    HttpResponse answer = answer();
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 512L * 1024 * 1024);
    ResponseLimits bounds = ResponseLimits.of(answer);
    for (int i = 0; i < 512; i++) {
      assertThat(bounds.exceededBy(MEBIBYTE)).isEmpty();
    }
  }

  @Test
  void aBodyWithoutALengthEndsAtItsBound() {
    ResponseLimits bounds = ResponseLimits.of(answer());
    for (int i = 0; i < ResponseLimits.MAX_UNSIZED_BYTES / MEBIBYTE.readableBytes(); i++) {
      assertThat(bounds.exceededBy(MEBIBYTE)).isEmpty();
    }
    assertThat(bounds.exceededBy(MEBIBYTE)).isPresent();
  }

  @Test
  void aBodyInTinyPartsEndsAtItsNumberOfThem() {
    ResponseLimits bounds = ResponseLimits.of(answer());
    ByteBuf tiny = text("a");
    for (int i = 0; i < ResponseLimits.MAX_UNSIZED_PARTS; i++) {
      assertThat(bounds.exceededBy(tiny)).isEmpty();
    }
    assertThat(bounds.exceededBy(tiny)).isPresent();
  }

  @Test
  void anEventThatNeverEndsIsBoundedAndManyEventsAreNot() {
    HttpResponse answer = answer();
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "Text/Event-Stream; charset=utf-8");
    ResponseLimits bounds = ResponseLimits.of(answer);
    String half = "data: " + "x".repeat((int) (ResponseLimits.MAX_EVENT_BYTES / 2)) + "\n";
    for (int i = 0; i < 10; i++) {
      assertThat(bounds.exceededBy(text(half + "\r\n"))).as("a whole event").isEmpty();
    }
    assertThat(bounds.exceededBy(text(half))).isEmpty();
    assertThat(bounds.exceededBy(text(half))).isPresent();
  }
}
