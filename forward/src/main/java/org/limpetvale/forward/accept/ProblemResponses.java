package org.limpetvale.forward.accept;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.limpetvale.core.result.Refusal;

/** Creates problem JSON responses for refusals. */
public final class ProblemResponses {
  private static final JsonFactory JSON = new JsonFactory();
  private static final double MILLIS_PER_SECOND = 1000;

  private ProblemResponses() {}

  /** Returns the response that reports a refusal to the caller. */
  public static FullHttpResponse of(Refusal refusal) {
    ByteBuf body = Unpooled.copiedBuffer(json(refusal), StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.code().httpStatus()), body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    HttpUtil.setContentLength(response, body.readableBytes());
    if (refusal.retryAfterMillis() > 0) {
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, formatSeconds(refusal.retryAfterMillis()));
    }
    return response;
  }

  /** Formats a duration as the fractional seconds of a Retry-After header. */
  public static String formatSeconds(long millis) {
    return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
  }

  private static String json(Refusal refusal) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("code", refusal.code().label());
      json.writeStringField("title", refusal.code().description());
      json.writeStringField("detail", refusal.detail());
      json.writeStringField("ran", refusal.executionStatus().text());
      if (refusal.retryAfterMillis() > 0) {
        json.writeNumberField(
            "retry_after_seconds", refusal.retryAfterMillis() / MILLIS_PER_SECOND);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write problem JSON", e);
    }
    return text.toString();
  }
}
