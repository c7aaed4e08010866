package org.limpetvale.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.ModelCall;

/** Runs attempts against a model engine over its OpenAI-compatible streaming API. */
final class ModelRunner implements UpstreamRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA_PREFIX = "data: ";
  private static final String END_OF_STREAM = "[DONE]";
  private static final int OK = 200;
  private static final int MAX_TIMEOUT_RETRIES = 2;

  private final UpstreamHttpClient http;
  private final TimerService timer;
  private final AtomicReference<Rates> rates;
  private final UpstreamState upstream;
  private final AtomicInteger running = new AtomicInteger();

  ModelRunner(
      UpstreamHttpClient http,
      UpstreamState upstream,
      TimerService timer,
      AtomicReference<Rates> rates) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.rates = Objects.requireNonNull(rates, "rates is null");
  }

  /** The result of one call to the engine. */
  private sealed interface CallResult {
    record Completed(int promptTokens, int completionTokens, int cachedTokens, String reason)
        implements CallResult {}

    record Rejected(int status, String body) implements CallResult {}

    record TimedOut() implements CallResult {}

    record ConnectionLost(String detail) implements CallResult {}

    record NotConnected(String detail) implements CallResult {}
  }

  @Override
  public Usage run(Attempt attempt) {
    int concurrentRequests = running.incrementAndGet();
    try {
      return runUntilEnd(attempt, concurrentRequests);
    } finally {
      running.decrementAndGet();
    }
  }

  private Usage runUntilEnd(Attempt attempt, int concurrentRequests) {
    Progress progress = new Progress(attempt.open().getModelCall(), timer.nowMillis());
    for (int retry = 0; ; retry++) {
      CallResult result = call(attempt, progress);
      if (attempt.isCancelled()) {
        attempt.failed(ResultCode.CANCELLED, "cancelled", false);
        return new Usage(progress.tokens);
      }
      if (result instanceof CallResult.TimedOut
          && retry < MAX_TIMEOUT_RETRIES
          && upstream.checkHealth()) {
        logger.atWarning().log(
            "engine connection timed out; continuing on a new one: request=%s tokens=%d",
            attempt.open().getRequestId(), progress.tokens);
        continue;
      }
      return endAttempt(attempt, progress, result, concurrentRequests);
    }
  }

  private Usage endAttempt(
      Attempt attempt, Progress progress, CallResult result, int concurrentRequests) {
    switch (result) {
      case CallResult.Completed done -> {
        progress.recordStreamRate(rates, timer.nowMillis());
        attempt.finished(
            done.promptTokens(), progress.totalTokens(), done.cachedTokens(), done.reason());
        return new Usage(done.promptTokens() - (long) done.cachedTokens() + progress.tokens);
      }
      case CallResult.Rejected(int status, String body) ->
          attempt.failed(ResultCode.UPSTREAM_ERROR, "engine status " + status + ": " + body, false);
      case CallResult.TimedOut() ->
          attempt.failed(ResultCode.UPSTREAM_SILENT, "no token within the limit", false);
      case CallResult.NotConnected(String detail) ->
          attempt.failed(ResultCode.UPSTREAM_CRASHED, detail, progress.tokens == 0);
      case CallResult.ConnectionLost(String detail) -> {
        boolean mayHaveCausedCrash = upstream.mayHaveCaused(progress.startedMillis);
        if (!upstream.checkHealth() && mayHaveCausedCrash) {
          attempt.crashed(detail, Math.max(concurrentRequests, running.get()));
        } else {
          attempt.failed(ResultCode.CONNECTION_LOST, detail, false);
        }
      }
    }
    return new Usage(progress.tokens);
  }

  private CallResult call(Attempt attempt, Progress progress) {
    HttpPost request = new HttpPost(http.url("/v1/chat/completions"));
    try {
      request.setEntity(new StringEntity(body(attempt, progress), ContentType.APPLICATION_JSON));
    } catch (JsonProcessingException e) {
      return new CallResult.Rejected(400, "body is not JSON");
    }
    request.setHeader("X-Request-Id", attempt.open().getRequestId());
    attempt.onAbort(request::cancel);
    try {
      return http.client().execute(request, response -> read(response, attempt, progress));
    } catch (ConnectException e) {
      upstream.markDown();
      return new CallResult.NotConnected(String.valueOf(e.getMessage()));
    } catch (SocketTimeoutException e) {
      return new CallResult.TimedOut();
    } catch (IOException e) {
      if (!attempt.isCancelled()) {
        upstream.markDown();
      }
      return new CallResult.ConnectionLost(e.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }

  /** Returns the body of the engine's request: streamed, continuing after the text so far. */
  private static String body(Attempt attempt, Progress progress) throws JsonProcessingException {
    ModelCall call = attempt.open().getModelCall();
    ObjectNode body = (ObjectNode) MAPPER.readTree(call.getBody().toStringUtf8());
    body.put("stream", true);
    body.putObject("stream_options").put("include_usage", true);
    body.put("priority", attempt.open().getTier());
    if (progress.totalTokens() > 0) {
      ObjectNode partial = body.withArray("messages").addObject();
      partial.put("role", "assistant");
      partial.put("content", call.getContinuedText() + progress.text);
      body.put("continue_final_message", true);
      body.put("add_generation_prompt", false);
      body.put("continued_tokens", progress.totalTokens());
    }
    return MAPPER.writeValueAsString(body);
  }

  private CallResult read(ClassicHttpResponse response, Attempt attempt, Progress progress)
      throws IOException {
    if (response.getCode() != OK) {
      return new CallResult.Rejected(response.getCode(), text(response.getEntity()));
    }
    if (response.getEntity() == null) {
      return new CallResult.Rejected(response.getCode(), "no body");
    }
    BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
    CallResult.Completed usage = null;
    String reason = "stop";
    while (true) {
      String line = lines.readLine();
      if (line == null) {
        upstream.markDown();
        return new CallResult.ConnectionLost("the stream ended without its last mark");
      }
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length());
      if (data.equals(END_OF_STREAM)) {
        EntityUtils.consumeQuietly(response.getEntity());
        return usage == null
            ? new CallResult.Completed(0, progress.tokens, 0, reason)
            : new CallResult.Completed(
                usage.promptTokens(), usage.completionTokens(), usage.cachedTokens(), reason);
      }
      JsonNode chunk = MAPPER.readTree(data);
      if (chunk.hasNonNull("error")) {
        EntityUtils.consumeQuietly(response.getEntity());
        return new CallResult.Rejected(response.getCode(), chunk.path("error").toString());
      }
      JsonNode choice = chunk.path("choices").path(0);
      String text = choice.path("delta").path("content").asText("");
      if (!text.isEmpty()) {
        progress.add(text, rates, timer.nowMillis());
        attempt.token(text);
      }
      if (choice.path("finish_reason").isTextual()) {
        reason = choice.path("finish_reason").asText();
      }
      if (chunk.path("usage").isObject()) {
        usage = usage(chunk.path("usage"));
      }
    }
  }

  /** Returns the text of a body; empty if there is none, as for status 204. */
  private static String text(HttpEntity body) throws IOException {
    return body == null ? "" : new String(EntityUtils.toByteArray(body), StandardCharsets.UTF_8);
  }

  private static CallResult.Completed usage(JsonNode usage) {
    return new CallResult.Completed(
        usage.path("prompt_tokens").asInt(),
        usage.path("completion_tokens").asInt(),
        usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
        "stop");
  }

  /** The text and tokens that one attempt has produced so far. */
  private static final class Progress {
    private static final double MILLIS_PER_SECOND = 1000;

    private final int continuedTokens;
    private final long startedMillis;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private long firstTokenMillis;

    Progress(ModelCall call, long startedMillis) {
      this.continuedTokens = call.getContinuedTokens();
      this.startedMillis = startedMillis;
    }

    int totalTokens() {
      return continuedTokens + tokens;
    }

    void add(String token, AtomicReference<Rates> rates, long nowMillis) {
      if (tokens == 0) {
        firstTokenMillis = nowMillis;
        rates.updateAndGet(old -> old.withFirstToken(nowMillis - startedMillis));
      }
      text.append(token);
      tokens++;
    }

    void recordStreamRate(AtomicReference<Rates> rates, long nowMillis) {
      if (tokens < 2 || nowMillis <= firstTokenMillis) {
        return;
      }
      double rate = (tokens - 1) * MILLIS_PER_SECOND / (nowMillis - firstTokenMillis);
      rates.updateAndGet(old -> old.withStream(rate));
    }
  }
}
