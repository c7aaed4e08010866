package org.limpetvale.entry.http;

import jakarta.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import jakarta.ws.rs.core.UriInfo;
import java.io.InputStream;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.core.config.ServiceRoute;
import org.limpetvale.core.repeat.ClaimRow;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.account.Accounting;
import org.limpetvale.entry.authenticate.Authenticator;
import org.limpetvale.entry.authenticate.Caller;
import org.limpetvale.entry.claim.ClaimStore;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.run.OpenRequests;
import org.limpetvale.entry.run.ServiceRequest;
import org.limpetvale.entry.run.ServiceRun;
import org.limpetvale.wire.ServiceAnswer;

/** The HTTP interface to plain services, which forwards method, path, headers and body. */
@Path("/v1/services/{service}/{path: .*}")
public final class ServiceResource {
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 256;

  private final Authenticator authenticator;
  private final ClaimStore claims;
  private final Dispatcher dispatcher;
  private final OpenRequests openRequests;
  private final Accounting accounting;

  /** Creates the resource. */
  @Inject
  public ServiceResource(
      Authenticator authenticator,
      ClaimStore claims,
      Dispatcher dispatcher,
      OpenRequests openRequests,
      Accounting accounting) {
    this.authenticator = Objects.requireNonNull(authenticator, "authenticator is null");
    this.claims = Objects.requireNonNull(claims, "claims is null");
    this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
    this.openRequests = Objects.requireNonNull(openRequests, "openRequests is null");
    this.accounting = Objects.requireNonNull(accounting, "accounting is null");
  }

  /** Forwards a GET request. */
  @GET
  public Response get(
      @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers) {
    return call("GET", service, uri, headers, InputStream.nullInputStream());
  }

  /** Forwards a POST request. */
  @POST
  public Response post(
      @PathParam("service") String service,
      @Context UriInfo uri,
      @Context HttpHeaders headers,
      InputStream body) {
    return call("POST", service, uri, headers, body);
  }

  /** Forwards a PUT request. */
  @PUT
  public Response put(
      @PathParam("service") String service,
      @Context UriInfo uri,
      @Context HttpHeaders headers,
      InputStream body) {
    return call("PUT", service, uri, headers, body);
  }

  /** Forwards a PATCH request. */
  @PATCH
  public Response patch(
      @PathParam("service") String service,
      @Context UriInfo uri,
      @Context HttpHeaders headers,
      InputStream body) {
    return call("PATCH", service, uri, headers, body);
  }

  /** Forwards a DELETE request. */
  @DELETE
  public Response delete(
      @PathParam("service") String service, @Context UriInfo uri, @Context HttpHeaders headers) {
    return call("DELETE", service, uri, headers, InputStream.nullInputStream());
  }

  /**
   * A call with its caller and route.
   *
   * @param caller the caller that sent the request
   * @param route the route that the call matches
   */
  private record RoutedCall(Caller caller, ServiceRoute route) {}

  private Response call(
      String method, String service, UriInfo uri, HttpHeaders headers, InputStream input) {
    String requestId = RequestIds.next(headers.getHeaderString("X-Request-Id"));
    String authorization = headers.getHeaderString("Authorization");
    String path = pathBelowService(uri);
    Result<ServiceRequest> checked =
        route(service, method, path, authorization)
            .flatMap(
                routed ->
                    BodyReader.read(input)
                        .flatMap(
                            body ->
                                KeyLeakGuard.containsKey(
                                        authorization, pathAndQuery(path, uri), body)
                                    ? Result.err(
                                        ResultCode.FIELD_INVALID, "path or body contains the key")
                                    : toServiceRequest(
                                        requestId, routed, service, method, uri, headers, body)));
    return switch (checked) {
      case Result.Err<ServiceRequest>(Refusal refusal) -> {
        accounting.recordRefusal(requestId, "", "", refusal);
        yield ProblemResponses.response(refusal, requestId);
      }
      case Result.Ok<ServiceRequest>(ServiceRequest request) -> answer(request, headers);
    };
  }

  private Result<RoutedCall> route(
      String service, String method, String path, String authorization) {
    if (authorization == null) {
      return openRoute(service, method, path)
          .map(Result::ok)
          .orElseGet(
              () ->
                  Result.err(ResultCode.KEY_MISSING, "send the header Authorization: Bearer KEY"));
    }
    return authenticator
        .authenticate(authorization)
        .flatMap(
            caller ->
                workspaceRoute(caller, service, method, path)
                    .or(() -> openRoute(service, method, path))
                    .map(Result::ok)
                    .orElseGet(
                        () -> Result.err(ResultCode.ROUTE_UNKNOWN, method + " " + service + path)));
  }

  private static Optional<RoutedCall> workspaceRoute(
      Caller caller, String service, String method, String path) {
    return caller
        .config()
        .serviceRoute(caller.parameters(), service, method, path)
        .map(route -> new RoutedCall(caller, route));
  }

  private Optional<RoutedCall> openRoute(String service, String method, String path) {
    return authenticator
        .findOpenRouteCaller(service, method, path)
        .flatMap(caller -> workspaceRoute(caller, service, method, path));
  }

  private static Result<ServiceRequest> toServiceRequest(
      String requestId,
      RoutedCall routed,
      String service,
      String method,
      UriInfo uri,
      HttpHeaders headers,
      byte[] body) {
    Caller caller = routed.caller();
    String className =
        Optional.ofNullable(headers.getHeaderString("X-Request-Class"))
            .orElse(caller.parameters().defaultClass());
    Optional<RequestClass> level = caller.config().requestClass(caller.parameters(), className);
    if (level.isEmpty()) {
      return Result.err(ResultCode.CLASS_NOT_ALLOWED, className);
    }
    String idempotencyKey = headers.getHeaderString("Idempotency-Key");
    if (idempotencyKey != null && idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
      return Result.err(
          ResultCode.FIELD_INVALID,
          "Idempotency-Key: up to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
    }
    return Result.ok(
        new ServiceRequest(
            requestId,
            caller,
            className,
            level.get(),
            service,
            method,
            pathAndQuery(pathBelowService(uri), uri),
            KeyLeakGuard.forwardableHeaders(
                headers.getRequestHeaders(), headers.getHeaderString("Authorization")),
            body,
            routed.route().repeatable()));
  }

  private static String pathBelowService(UriInfo uri) {
    return "/" + uri.getPathParameters(false).getFirst("path");
  }

  private static String pathAndQuery(String path, UriInfo uri) {
    String query = uri.getRequestUri().getRawQuery();
    return query == null ? path : path + "?" + query;
  }

  private Response answer(ServiceRequest request, HttpHeaders headers) {
    String idempotencyKey = headers.getHeaderString("Idempotency-Key");
    if (idempotencyKey == null || request.repeatable()) {
      return run(request, Optional.empty());
    }
    String description = request.method() + " " + request.service() + request.path();
    Result<ClaimStore.Outcome> grant =
        claims.claim(request.caller().workspace(), idempotencyKey, description, request.body());
    return switch (grant) {
      case Result.Err<ClaimStore.Outcome>(Refusal refusal) -> {
        accounting.recordRefusal(
            request.requestId(), request.caller().workspace(), request.className(), refusal);
        yield ProblemResponses.response(refusal, request.requestId());
      }
      case Result.Ok<ClaimStore.Outcome>(ClaimStore.Outcome.Replay(ClaimRow.StoredAnswer stored)) ->
          ProblemResponses.replay(stored, request.requestId());
      case Result.Ok<ClaimStore.Outcome>(ClaimStore.Outcome.Run(ClaimStore.Held held)) ->
          run(request, Optional.of(held));
    };
  }

  private Response run(ServiceRequest request, Optional<ClaimStore.Held> held) {
    ServiceRun run = new ServiceRun(request, dispatcher);
    Result<ServiceAnswer> result;
    try (OpenRequests.Registration ignored =
        openRequests.register(request.caller().keyDigest(), run::stop)) {
      result = run.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      result = Result.err(ResultCode.INTERNAL, "interrupted");
    }
    return switch (result) {
      case Result.Ok<ServiceAnswer>(ServiceAnswer answer) -> {
        held.ifPresent(each -> claims.finish(each, toStoredAnswer(answer)));
        yield response(answer, request, run);
      }
      case Result.Err<ServiceAnswer>(Refusal refusal) -> {
        run.close();
        held.ifPresent(each -> concludeClaim(each, refusal));
        accounting.recordServiceRefusal(request, refusal);
        yield ProblemResponses.response(refusal, request.requestId());
      }
    };
  }

  private void concludeClaim(ClaimStore.Held held, Refusal refusal) {
    if (refusal.executionStatus() == ExecutionStatus.NOT_RUN) {
      claims.release(held);
    } else {
      claims.markUnknown(held);
    }
  }

  /** Creates the response; the call is billed after its bytes are written. */
  private Response response(ServiceAnswer answer, ServiceRequest request, ServiceRun run) {
    StreamingOutput output =
        out -> {
          try (run) {
            answer.getBody().writeTo(out);
            out.flush();
            accounting.recordServiceCompletion(request, run);
          }
        };
    Response.ResponseBuilder builder = Response.status(answer.getStatus());
    answer.getHeadersList().forEach(each -> builder.header(each.getName(), each.getValue()));
    return builder.header("X-Request-Id", request.requestId()).entity(output).build();
  }

  private static ClaimRow.StoredAnswer toStoredAnswer(ServiceAnswer answer) {
    String type =
        answer.getHeadersList().stream()
            .filter(each -> each.getName().equalsIgnoreCase("content-type"))
            .findFirst()
            .map(org.limpetvale.wire.Header::getValue)
            .orElse("application/octet-stream");
    return new ClaimRow.StoredAnswer(
        answer.getStatus(),
        type,
        Base64.getEncoder().encodeToString(answer.getBody().toByteArray()));
  }
}
