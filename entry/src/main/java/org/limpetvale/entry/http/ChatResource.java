package org.limpetvale.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.repeat.ClaimRow;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.account.Accounting;
import org.limpetvale.entry.authenticate.Authenticator;
import org.limpetvale.entry.authenticate.Caller;
import org.limpetvale.entry.claim.ClaimStore;
import org.limpetvale.entry.run.ModelRequest;
import org.limpetvale.entry.run.ModelRun;
import org.limpetvale.entry.run.ModelRunFactory;
import org.limpetvale.entry.run.OpenRequests;
import org.limpetvale.entry.run.RunUpdate;

/** The OpenAI-compatible HTTP interface to models. */
@Path("/v1")
public final class ChatResource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long KEEP_ALIVE_MILLIS = 1000;
  private static final String CHAT_ROUTE = "POST /v1/chat/completions";
  private static final String DONE_EVENT = "data: [DONE]\n\n";
  private static final String KEEP_ALIVE_COMMENT = ": waiting\n\n";

  private final Authenticator authenticator;
  private final ChatParser parser;
  private final ClaimStore claims;
  private final ModelRunFactory runs;
  private final OpenRequests openRequests;

  /** Creates the resource. */
  @Inject
  public ChatResource(
      Authenticator authenticator,
      org.limpetvale.daemon.Digests digests,
      ClaimStore claims,
      ModelRunFactory runs,
      OpenRequests openRequests) {
    this.authenticator = Objects.requireNonNull(authenticator, "authenticator is null");
    this.parser = new ChatParser(digests);
    this.claims = Objects.requireNonNull(claims, "claims is null");
    this.runs = Objects.requireNonNull(runs, "runs is null");
    this.openRequests = Objects.requireNonNull(openRequests, "openRequests is null");
  }

  /** Lists the models of the caller's workspace. */
  @GET
  @Path("/models")
  @Produces(MediaType.APPLICATION_JSON)
  public Response models(@HeaderParam("Authorization") String authorization) {
    String requestId = RequestIds.next(null);
    return switch (authenticator.authenticate(authorization)) {
      case Result.Err<Caller>(Refusal refusal) -> ProblemResponses.response(refusal, requestId);
      case Result.Ok<Caller>(Caller caller) -> {
        ObjectNode body = MAPPER.createObjectNode().put("object", "list");
        var data = body.putArray("data");
        caller
            .parameters()
            .models()
            .forEach(
                model ->
                    data.addObject()
                        .put("id", model)
                        .put("object", "model")
                        .put("owned_by", "limpetvale"));
        yield Response.ok(body.toString()).build();
      }
    };
  }

  /** Answers a chat request, as one response or as a stream of server-sent events. */
  @POST
  @Path("/chat/completions")
  public Response chat(
      @HeaderParam("Authorization") String authorization,
      @HeaderParam("X-Request-Class") String requestClass,
      @HeaderParam("X-Request-Id") String givenId,
      @HeaderParam("Idempotency-Key") String idempotencyKey,
      InputStream input) {
    String requestId = RequestIds.next(givenId);
    Result<ModelRequest> checked =
        authenticator
            .authenticate(authorization)
            .flatMap(
                caller ->
                    BodyReader.read(input)
                        .flatMap(bytes -> rejectKeyInBody(authorization, bytes))
                        .flatMap(bytes -> parser.parse(requestId, caller, requestClass, bytes)));
    return switch (checked) {
      case Result.Err<ModelRequest>(Refusal refusal) -> {
        runs.accounting().recordRefusal(requestId, "", "", refusal);
        yield ProblemResponses.response(refusal, requestId);
      }
      case Result.Ok<ModelRequest>(ModelRequest request) ->
          idempotencyKey == null || request.stream()
              ? run(request).response()
              : runOnce(request, idempotencyKey);
    };
  }

  private static Result<byte[]> rejectKeyInBody(String authorization, byte[] bytes) {
    return KeyLeakGuard.containsKey(authorization, "", bytes)
        ? Result.err(ResultCode.FIELD_INVALID, "the body contains the key")
        : Result.ok(bytes);
  }

  private Response runOnce(ModelRequest request, String idempotencyKey) {
    Result<ClaimStore.Outcome> grant =
        claims.claim(request.caller().workspace(), idempotencyKey, CHAT_ROUTE, request.body());
    return switch (grant) {
      case Result.Err<ClaimStore.Outcome>(Refusal refusal) -> {
        runs.accounting()
            .recordRefusal(
                request.requestId(), request.caller().workspace(), request.className(), refusal);
        yield ProblemResponses.response(refusal, request.requestId());
      }
      case Result.Ok<ClaimStore.Outcome>(ClaimStore.Outcome.Replay(ClaimRow.StoredAnswer answer)) ->
          ProblemResponses.replay(answer, request.requestId());
      case Result.Ok<ClaimStore.Outcome>(ClaimStore.Outcome.Run(ClaimStore.Held held)) -> {
        ChatAnswer answer = run(request);
        if (answer.wholeBody().isPresent()) {
          claims.finish(
              held,
              new ClaimRow.StoredAnswer(
                  Response.Status.OK.getStatusCode(),
                  MediaType.APPLICATION_JSON,
                  Base64.getEncoder().encodeToString(answer.wholeBody().get())));
        } else {
          // A model request has no lasting effects, so it may safely run again.
          claims.release(held);
        }
        yield answer.response();
      }
    };
  }

  /**
   * The response to a caller, and its body if the answer is complete.
   *
   * @param wholeBody body of a complete answer; empty for a refusal or a stream
   */
  private record ChatAnswer(Response response, Optional<byte[]> wholeBody) {}

  private ChatAnswer run(ModelRequest request) {
    ModelRun run = runs.start(request);
    OpenRequests.Registration registration =
        openRequests.register(request.caller().keyDigest(), run::stop);
    Accounting.RequestTracker tracker = runs.accounting().track(request);
    try {
      RunUpdate firstUpdate = request.stream() ? awaitFirstUpdate(run) : new RunUpdate.Idle();
      if (request.stream() && !(firstUpdate instanceof RunUpdate.Refused)) {
        StreamingOutput output =
            out -> relay(request, run, registration, tracker, firstUpdate, out);
        return new ChatAnswer(response(request, "text/event-stream", output), Optional.empty());
      }
      StringBuilder text = new StringBuilder();
      return switch (request.stream() ? firstUpdate : collect(run, tracker, text)) {
        case RunUpdate.Done done ->
            completeAnswer(request, run, registration, tracker, text.toString(), done);
        case RunUpdate.Refused(Refusal refusal) ->
            refusedAnswer(request, run, registration, tracker, refusal);
        case RunUpdate other ->
            throw new IllegalStateException("not a final update of a run: " + other);
      };
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      run.cancel();
      return refusedAnswer(
          request, run, registration, tracker, Refusal.of(ResultCode.INTERNAL, "interrupted"));
    }
  }

  private static RunUpdate awaitFirstUpdate(ModelRun run) throws InterruptedException {
    RunUpdate update = run.next(KEEP_ALIVE_MILLIS);
    while (update instanceof RunUpdate.Idle) {
      update = run.next(KEEP_ALIVE_MILLIS);
    }
    return update;
  }

  /** Appends the text of the run to {@code text}; returns the final update of the run. */
  private static RunUpdate collect(
      ModelRun run, Accounting.RequestTracker tracker, StringBuilder text)
      throws InterruptedException {
    while (true) {
      switch (run.next(KEEP_ALIVE_MILLIS)) {
        case RunUpdate.Text(String textPart) -> {
          tracker.recordToken();
          text.append(textPart);
        }
        case RunUpdate.Idle() -> {}
        case RunUpdate end -> {
          return end;
        }
      }
    }
  }

  /** Creates the response for a complete answer, which is billed after its bytes are written. */
  private static ChatAnswer completeAnswer(
      ModelRequest request,
      ModelRun run,
      OpenRequests.Registration registration,
      Accounting.RequestTracker tracker,
      String text,
      RunUpdate.Done done) {
    byte[] body =
        ChatResponses.completion(request, text, done, nowSeconds())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    StreamingOutput output =
        out -> {
          try (registration;
              run) {
            out.write(body);
            out.flush();
            tracker.recordCompletion(done, run);
          }
        };
    return new ChatAnswer(response(request, MediaType.APPLICATION_JSON, output), Optional.of(body));
  }

  private static ChatAnswer refusedAnswer(
      ModelRequest request,
      ModelRun run,
      OpenRequests.Registration registration,
      Accounting.RequestTracker tracker,
      Refusal refusal) {
    try (registration;
        run) {
      tracker.recordRefusal(refusal, run);
      return new ChatAnswer(
          ProblemResponses.response(refusal, request.requestId()), Optional.empty());
    }
  }

  private static Response response(ModelRequest request, String type, StreamingOutput output) {
    return Response.ok(output)
        .type(type)
        .header("X-Request-Id", request.requestId())
        .header("Cache-Control", "no-cache")
        .build();
  }

  private static void relay(
      ModelRequest request,
      ModelRun run,
      OpenRequests.Registration registration,
      Accounting.RequestTracker tracker,
      RunUpdate firstUpdate,
      OutputStream out)
      throws IOException {
    long createdSeconds = nowSeconds();
    try (registration;
        run) {
      RunUpdate update = firstUpdate;
      while (true) {
        switch (update) {
          case RunUpdate.Text(String textPart) -> {
            write(out, ChatResponses.chunk(request, textPart, createdSeconds));
            tracker.recordToken();
          }
          case RunUpdate.Idle() -> writeText(out, KEEP_ALIVE_COMMENT);
          case RunUpdate.Refused(Refusal refusal) -> {
            tracker.recordRefusal(refusal, run);
            write(out, ProblemResponses.body(refusal, request.requestId()));
            return;
          }
          case RunUpdate.Done done -> {
            write(out, ChatResponses.lastChunk(request, done, createdSeconds));
            writeText(out, DONE_EVENT);
            tracker.recordCompletion(done, run);
            return;
          }
        }
        update = run.next(KEEP_ALIVE_MILLIS);
      }
    } catch (IOException e) {
      logger.atInfo().log("caller gone request=%s: %s", request.requestId(), e.getMessage());
      run.cancel();
      tracker.recordRefusal(
          new Refusal(ResultCode.CANCELLED, "the caller went away", ExecutionStatus.RAN, 0), run);
      throw e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      run.cancel();
    }
  }

  private static void write(OutputStream out, ObjectNode event) throws IOException {
    writeText(out, "data: " + event + "\n\n");
  }

  private static void writeText(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static long nowSeconds() {
    return System.currentTimeMillis() / 1000;
  }
}
