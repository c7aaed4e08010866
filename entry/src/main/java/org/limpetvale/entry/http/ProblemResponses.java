package org.limpetvale.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.ws.rs.core.Response;
import java.util.Base64;
import org.limpetvale.core.repeat.ClaimRow;
import org.limpetvale.core.result.Refusal;

/**
 * Creates error responses, as problem JSON with the error object that OpenAI clients expect, and
 * replays stored answers.
 */
public final class ProblemResponses {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  static final String MEDIA_TYPE = "application/problem+json";

  private static final long MILLIS_PER_SECOND = 1000;

  private ProblemResponses() {}

  /** Returns the response for a refusal. */
  public static Response response(Refusal refusal, String requestId) {
    Response.ResponseBuilder builder =
        Response.status(refusal.code().httpStatus())
            .type(MEDIA_TYPE)
            .header("X-Request-Id", requestId)
            .entity(body(refusal, requestId).toString());
    if (refusal.retryAfterMillis() > 0) {
      builder.header("Retry-After", retryAfterSeconds(refusal));
    }
    return builder.build();
  }

  /** Returns the stored answer as the response to a repeated call. */
  public static Response replay(ClaimRow.StoredAnswer answer, String requestId) {
    return Response.status(answer.status())
        .type(answer.contentType())
        .header("X-Request-Id", requestId)
        .header("Idempotent-Replayed", "true")
        .entity(Base64.getDecoder().decode(answer.bodyBase64()))
        .build();
  }

  /** Returns the response body for a refusal. */
  public static ObjectNode body(Refusal refusal, String requestId) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("type", "urn:limpetvale:" + refusal.code().number());
    body.put("title", refusal.code().description());
    body.put("status", refusal.code().httpStatus());
    body.put("detail", refusal.detail());
    body.put("code", refusal.code().label());
    body.put("ran", refusal.executionStatus().text());
    body.put("request_id", requestId);
    if (refusal.retryAfterMillis() > 0) {
      body.put("retry_after_seconds", retryAfterSeconds(refusal));
    }
    ObjectNode error = body.putObject("error");
    error.put("message", refusal.code().description() + " " + refusal.detail());
    error.put("type", refusal.code().name().toLowerCase(java.util.Locale.ROOT));
    error.put("code", refusal.code().label());
    error.putNull("param");
    return body;
  }

  /** Returns the value of the header Retry-After, in seconds. */
  static long retryAfterSeconds(Refusal refusal) {
    return Math.max(1, (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }
}
