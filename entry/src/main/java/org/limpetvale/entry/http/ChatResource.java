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
import org.limpetvale.core.repeat.ClaimRow;
import org.limpetvale.core.result.Ran;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.request.Accounting;
import org.limpetvale.entry.request.Authenticator;
import org.limpetvale.entry.request.Caller;
import org.limpetvale.entry.request.Claims;
import org.limpetvale.entry.request.ModelRequest;
import org.limpetvale.entry.request.ModelRun;
import org.limpetvale.entry.request.ModelRuns;
import org.limpetvale.entry.request.OpenRequests;
import org.limpetvale.entry.request.Step;

/** The callers' interface to models. */
@Path("/v1")
public final class ChatResource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long KEEP_ALIVE_MILLIS = 1000;
  private static final String CHAT = "POST /v1/chat/completions";
  private static final String DONE = "data: [DONE]\n\n";
  private static final String KEEP_ALIVE = ": waiting\n\n";

  private final Authenticator authenticator;
  private final ChatParser parser;
  private final Claims claims;
  private final ModelRuns runs;
  private final OpenRequests open;

  /** Creates the resource. */
  @Inject
  public ChatResource(
      Authenticator authenticator,
      org.limpetvale.daemon.Digests digests,
      Claims claims,
      ModelRuns runs,
      OpenRequests open) {
    this.authenticator = Objects.requireNonNull(authenticator, "authenticator is null");
    this.parser = new ChatParser(digests);
    this.claims = Objects.requireNonNull(claims, "claims is null");
    this.runs = Objects.requireNonNull(runs, "runs is null");
    this.open = Objects.requireNonNull(open, "open is null");
  }

  /** Lists the models of the caller's workspace. */
  @GET
  @Path("/models")
  @Produces(MediaType.APPLICATION_JSON)
  public Response models(@HeaderParam("Authorization") String authorization) {
    String requestId = RequestIds.next(null);
    return switch (authenticator.byKey(authorization)) {
      case Result.Err<Caller>(Refusal refusal) -> Problems.response(refusal, requestId);
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

  /** Answers a chat request, whole or as a stream of server-sent events. */
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
            .byKey(authorization)
            .flatMap(
                caller ->
                    BodyReader.read(input)
                        .flatMap(bytes -> withoutKey(authorization, bytes))
                        .flatMap(bytes -> parser.parse(requestId, caller, requestClass, bytes)));
    return switch (checked) {
      case Result.Err<ModelRequest>(Refusal refusal) -> {
        runs.accounting().refused(requestId, "", "", refusal);
        yield Problems.response(refusal, requestId);
      }
      case Result.Ok<ModelRequest>(ModelRequest request) ->
          idempotencyKey == null || request.stream()
              ? run(request)
              : runOnce(request, idempotencyKey);
    };
  }

  private static Result<byte[]> withoutKey(String authorization, byte[] bytes) {
    return KeyLeak.isIn(authorization, "", bytes)
        ? Result.err(ResultCode.FIELD_INVALID, "the body contains the key")
        : Result.ok(bytes);
  }

  // -- once

  private Response runOnce(ModelRequest request, String idempotencyKey) {
    Result<Claims.Grant> grant =
        claims.claim(request.caller().workspace(), idempotencyKey, CHAT, request.body());
    return switch (grant) {
      case Result.Err<Claims.Grant>(Refusal refusal) -> {
        runs.accounting()
            .refused(
                request.requestId(), request.caller().workspace(), request.className(), refusal);
        yield Problems.response(refusal, request.requestId());
      }
      case Result.Ok<Claims.Grant>(Claims.Grant.Repeat(ClaimRow.StoredAnswer answer)) ->
          stored(answer, request.requestId());
      case Result.Ok<Claims.Grant>(Claims.Grant.Run(Claims.Held held)) -> {
        Response response = run(request);
        if (response.getStatus() == Response.Status.OK.getStatusCode()) {
          byte[] body = response.getEntity().toString().getBytes(StandardCharsets.UTF_8);
          claims.finish(
              held,
              new ClaimRow.StoredAnswer(
                  response.getStatus(),
                  MediaType.APPLICATION_JSON,
                  Base64.getEncoder().encodeToString(body)));
        } else {
          // A model request has no lasting effect, so that it may run again.
          claims.release(held);
        }
        yield response;
      }
    };
  }

  private static Response stored(ClaimRow.StoredAnswer answer, String requestId) {
    return Response.status(answer.status())
        .type(answer.contentType())
        .header("X-Request-Id", requestId)
        .header("Idempotent-Replayed", "true")
        .entity(Base64.getDecoder().decode(answer.bodyBase64()))
        .build();
  }

  // -- running

  private Response run(ModelRequest request) {
    ModelRun run = runs.start(request);
    OpenRequests.Registration registration = open.register(request.caller().keyDigest(), run::stop);
    Accounting.Watch watch = runs.accounting().watch(request);
    boolean handedOver = false;
    try {
      Step first = firstStep(run);
      if (first instanceof Step.Refused(Refusal refusal)) {
        watch.refused(refusal, run);
        return Problems.response(refusal, request.requestId());
      }
      if (request.stream()) {
        handedOver = true;
        StreamingOutput output = out -> relay(request, run, registration, watch, first, out);
        return Response.ok(output)
            .type("text/event-stream")
            .header("X-Request-Id", request.requestId())
            .header("Cache-Control", "no-cache")
            .build();
      }
      return collect(request, run, watch, first);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      run.cancel();
      Refusal refusal = Refusal.of(ResultCode.INTERNAL, "interrupted");
      watch.refused(refusal, run);
      return Problems.response(refusal, request.requestId());
    } finally {
      if (!handedOver) {
        registration.close();
        run.close();
      }
    }
  }

  private static Step firstStep(ModelRun run) throws InterruptedException {
    Step step = run.next(KEEP_ALIVE_MILLIS);
    while (step instanceof Step.Idle) {
      step = run.next(KEEP_ALIVE_MILLIS);
    }
    return step;
  }

  private static Response collect(
      ModelRequest request, ModelRun run, Accounting.Watch watch, Step first)
      throws InterruptedException {
    StringBuilder text = new StringBuilder();
    Step step = first;
    while (true) {
      switch (step) {
        case Step.Text(String piece) -> {
          watch.token();
          text.append(piece);
        }
        case Step.Idle() -> {}
        case Step.Refused(Refusal refusal) -> {
          watch.refused(refusal, run);
          return Problems.response(refusal, request.requestId());
        }
        case Step.Done done -> {
          watch.done(done, run);
          return Response.ok(
                  ChatAnswers.whole(request, text.toString(), done, nowSeconds()).toString())
              .type(MediaType.APPLICATION_JSON)
              .header("X-Request-Id", request.requestId())
              .build();
        }
      }
      step = run.next(KEEP_ALIVE_MILLIS);
    }
  }

  private static void relay(
      ModelRequest request,
      ModelRun run,
      OpenRequests.Registration registration,
      Accounting.Watch watch,
      Step first,
      OutputStream out)
      throws IOException {
    long createdSeconds = nowSeconds();
    try (registration;
        run) {
      Step step = first;
      while (true) {
        switch (step) {
          case Step.Text(String piece) -> {
            write(out, ChatAnswers.chunk(request, piece, createdSeconds));
            watch.token();
          }
          case Step.Idle() -> writeText(out, KEEP_ALIVE);
          case Step.Refused(Refusal refusal) -> {
            watch.refused(refusal, run);
            write(out, Problems.body(refusal, request.requestId()));
            return;
          }
          case Step.Done done -> {
            write(out, ChatAnswers.lastChunk(request, done, createdSeconds));
            writeText(out, DONE);
            watch.done(done, run);
            return;
          }
        }
        step = run.next(KEEP_ALIVE_MILLIS);
      }
    } catch (IOException e) {
      logger.atInfo().log("caller gone request=%s: %s", request.requestId(), e.getMessage());
      run.cancel();
      watch.refused(new Refusal(ResultCode.CANCELLED, "the caller went away", Ran.RAN, 0), run);
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
