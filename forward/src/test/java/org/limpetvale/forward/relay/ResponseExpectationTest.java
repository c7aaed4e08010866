package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ResponseExpectationTest {
  private static final ResponseExpectation STREAM =
      new ResponseExpectation("id", true, Optional.empty(), false);
  private static final ResponseExpectation TEXT =
      new ResponseExpectation("id", false, Optional.empty(), false);

  private static HttpResponse response(HttpResponseStatus status, String contentType) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    if (!contentType.isEmpty()) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    return response;
  }

  @Test
  void theContentTypeTellsAnEventStream() {
    HttpResponse stream = response(HttpResponseStatus.OK, "Text/Event-Stream; charset=utf-8");
    assertThat(STREAM.isEventStream(stream)).isTrue();
    assertThat(TEXT.isEventStream(stream)).isTrue();
    assertThat(STREAM.isEventStream(response(HttpResponseStatus.OK, "text/plain"))).isFalse();
  }

  @Test
  void withoutAContentTypeTheRouteTellsAnEventStream() {
    assertThat(STREAM.isEventStream(response(HttpResponseStatus.OK, ""))).isTrue();
    assertThat(TEXT.isEventStream(response(HttpResponseStatus.OK, ""))).isFalse();
  }

  @Test
  void aFailureIsNoEventStream() {
    HttpResponse failure = response(HttpResponseStatus.BAD_GATEWAY, "text/event-stream");
    assertThat(STREAM.isEventStream(failure)).isFalse();
  }
}
