package org.limpetvale.entry.http;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.ConfigChange;
import org.limpetvale.core.config.ConfigValidator;
import org.limpetvale.core.config.Fault;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.config.KeyGrant;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.daemon.Digests;
import org.limpetvale.daemon.Ids;
import org.limpetvale.entry.authenticate.Authenticator;
import org.limpetvale.entry.config.ConfigHistory;
import org.limpetvale.entry.config.ConfigHolder;
import org.limpetvale.entry.config.ConfigWriter;
import org.limpetvale.entry.control.OperatorRequest;
import org.limpetvale.entry.control.OperatorRequests;
import org.limpetvale.entry.route.DecisionLog;

/** The HTTP interface for operators. */
@Path("/v1/admin")
@Produces(MediaType.APPLICATION_JSON)
public final class AdminResource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Authenticator authenticator;
  private final ConfigHolder config;
  private final ConfigWriter writer;
  private final ConfigHistory history;
  private final OperatorRequests operatorRequests;
  private final Digests digests;
  private final DecisionLog decisions;
  private final StatusReport status;

  /** Creates the resource. */
  @Inject
  public AdminResource(
      Authenticator authenticator,
      ConfigHolder config,
      ConfigWriter writer,
      ConfigHistory history,
      OperatorRequests operatorRequests,
      Digests digests,
      DecisionLog decisions,
      StatusReport status) {
    this.authenticator = Objects.requireNonNull(authenticator, "authenticator is null");
    this.config = Objects.requireNonNull(config, "config is null");
    this.writer = Objects.requireNonNull(writer, "writer is null");
    this.history = Objects.requireNonNull(history, "history is null");
    this.operatorRequests = Objects.requireNonNull(operatorRequests, "operatorRequests is null");
    this.digests = Objects.requireNonNull(digests, "digests is null");
    this.decisions = Objects.requireNonNull(decisions, "decisions is null");
    this.status = Objects.requireNonNull(status, "status is null");
  }

  /** An operator's request to grant a key. */
  public record GrantRequest(String keyId, String workspace) {}

  /** A granted key; the only response that contains the key itself. */
  public record Granted(String keyId, String workspace, String key, long version) {}

  /** A key in a listing, without the key itself or its digest. */
  public record ListedKey(String keyId, String workspace) {}

  /** The configuration version created by a change. */
  public record Accepted(long version) {}

  /** The faults found in a change; empty if it is valid. */
  public record Checked(List<Fault> faults) {}

  /** Applies a configuration change. */
  @POST
  @Path("/changes")
  public Response change(@HeaderParam("Authorization") String authorization, InputStream body) {
    return runAsOperator(
        authorization,
        operator ->
            read(body, ConfigChange.class)
                .flatMap(this::rejectKeyGrants)
                .flatMap(change -> writer.apply(operator, change))
                .flatMap(record -> Result.ok(new Accepted(record.version()))));
  }

  /** Validates a configuration change without applying it. */
  @POST
  @Path("/validate")
  public Response validate(@HeaderParam("Authorization") String authorization, InputStream body) {
    return runAsOperator(
        authorization,
        operator ->
            read(body, ConfigChange.class)
                .flatMap(
                    change ->
                        Result.ok(
                            new Checked(ConfigValidator.validate(config.current(), change)))));
  }

  /** Lists the changes accepted after a version. */
  @GET
  @Path("/changes")
  public Response changes(
      @HeaderParam("Authorization") String authorization,
      @QueryParam("after") @DefaultValue("0") long after) {
    return runAsOperator(authorization, operator -> history.after(after));
  }

  /** Returns a template. */
  @GET
  @Path("/templates/{name}")
  public Response template(
      @HeaderParam("Authorization") String authorization, @PathParam("name") String name) {
    return runAsOperator(
        authorization,
        operator ->
            requireDefined(Optional.ofNullable(config.current().templates().get(name)), name));
  }

  /** Returns the parameters of a workspace. */
  @GET
  @Path("/workspaces/{name}")
  public Response workspace(
      @HeaderParam("Authorization") String authorization, @PathParam("name") String name) {
    return runAsOperator(
        authorization, operator -> requireDefined(config.current().workspace(name), name));
  }

  /** Grants a key, which is returned only in this response. */
  @POST
  @Path("/keys")
  public Response grant(@HeaderParam("Authorization") String authorization, InputStream body) {
    String key = Ids.nextKey();
    return runAsOperator(
        authorization,
        operator ->
            read(body, GrantRequest.class)
                .flatMap(
                    request ->
                        grant(operator, request, key)
                            .flatMap(
                                record ->
                                    Result.ok(
                                        new Granted(
                                            request.keyId(),
                                            request.workspace(),
                                            key,
                                            record.version())))));
  }

  /** Withdraws a key. */
  @DELETE
  @Path("/keys/{keyId}")
  public Response withdraw(
      @HeaderParam("Authorization") String authorization, @PathParam("keyId") String keyId) {
    return runAsOperator(
        authorization,
        operator ->
            writer
                .apply(operator, new ConfigChange.WithdrawKey(keyId))
                .flatMap(record -> Result.ok(new Accepted(record.version()))));
  }

  /** Lists the keys in force. */
  @GET
  @Path("/keys")
  public Response keys(@HeaderParam("Authorization") String authorization) {
    return runAsOperator(
        authorization,
        operator ->
            Result.ok(
                config.current().keys().values().stream()
                    .map(grant -> new ListedKey(grant.keyId(), grant.workspace()))
                    .sorted(Comparator.comparing(ListedKey::keyId))
                    .toList()));
  }

  /** Records an operator's request to drain, undrain, start or stop an upstream. */
  @POST
  @Path("/upstreams/{vm}/{action}")
  public Response upstream(
      @HeaderParam("Authorization") String authorization,
      @PathParam("vm") String vm,
      @PathParam("action") String action) {
    return runAsOperator(
        authorization,
        operator ->
            parseAction(action)
                .flatMap(requestedAction -> operatorRequests.put(vm, requestedAction, operator)));
  }

  /** Returns the state of this entry. */
  @GET
  @Path("/status")
  public Response status(@HeaderParam("Authorization") String authorization) {
    return runAsOperator(authorization, operator -> Result.ok(status.currentState()));
  }

  /** Returns the recent decisions of this entry on a request. */
  @GET
  @Path("/requests/{requestId}")
  public Response explain(
      @HeaderParam("Authorization") String authorization,
      @PathParam("requestId") String requestId) {
    return runAsOperator(authorization, operator -> Result.ok(decisions.explain(requestId)));
  }

  private Response runAsOperator(String authorization, Function<String, Result<?>> operation) {
    String requestId = RequestIds.next(null);
    Result<String> operator = authenticator.authenticateOperator(authorization);
    if (operator instanceof Result.Err<String>(Refusal refusal)) {
      return ProblemResponses.response(refusal, requestId);
    }
    Result<?> result = operation.apply(((Result.Ok<String>) operator).value());
    return switch (result) {
      case Result.Ok<?>(Object value) -> Response.ok(JsonCodec.write(value)).build();
      case Result.Err<?>(Refusal refusal) -> {
        logger.atInfo().log(
            "operator request refused: %s %s", refusal.code().label(), refusal.detail());
        yield ProblemResponses.response(refusal, requestId);
      }
    };
  }

  private static <T> Result<T> read(InputStream body, Class<T> type) {
    return BodyReader.read(body)
        .flatMap(
            bytes ->
                switch (JsonCodec.parseInput(new String(bytes, StandardCharsets.UTF_8), type)) {
                  case JsonCodec.ParseResult.Value<T>(T value) -> Result.ok(value);
                  case JsonCodec.ParseResult.Faults<T>(List<Fault> faults) ->
                      Result.err(
                          ResultCode.CONFIG_INVALID,
                          faults.stream().map(Fault::message).collect(Collectors.joining("\n")));
                });
  }

  private Result<ConfigChange> rejectKeyGrants(ConfigChange change) {
    return change instanceof ConfigChange.GrantKey
        ? Result.err(ResultCode.CONFIG_INVALID, "grant keys by POST /v1/admin/keys")
        : Result.ok(change);
  }

  private Result<ChangeRecord> grant(String operator, GrantRequest request, String key) {
    if (request.keyId() == null || request.workspace() == null) {
      return Result.err(ResultCode.CONFIG_INVALID, "keyId and workspace are needed");
    }
    KeyGrant grant = new KeyGrant(request.keyId(), request.workspace(), digests.digest(key));
    return writer.apply(operator, new ConfigChange.GrantKey(grant));
  }

  private static Result<OperatorRequest.Action> parseAction(String name) {
    return Arrays.stream(OperatorRequest.Action.values())
        .filter(each -> each.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst()
        .map(Result::ok)
        .orElseGet(
            () -> Result.err(ResultCode.FIELD_INVALID, "action: drain, undrain, start or stop"));
  }

  private static <T> Result<T> requireDefined(Optional<T> value, String name) {
    return value
        .map(Result::ok)
        .orElseGet(() -> Result.err(ResultCode.ROUTE_UNKNOWN, name + " is not defined"));
  }
}
