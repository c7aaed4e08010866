package org.limpetvale.entry.authenticate;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.KeyGrant;
import org.limpetvale.core.config.WorkspaceParameters;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.daemon.Digests;
import org.limpetvale.entry.config.ConfigFreshness;
import org.limpetvale.entry.config.ConfigHolder;

/** Authenticates callers and operators by their keys. */
public final class Authenticator {
  private static final String BEARER_PREFIX = "Bearer ";
  private static final int MAX_HEADER_LENGTH = 256;
  private static final long STALE_RETRY_AFTER_MILLIS = 2000;

  private final ConfigHolder config;
  private final ConfigFreshness freshness;
  private final Digests digests;
  private final List<String> operatorKeyDigests;

  /** Creates an authenticator. */
  public Authenticator(
      ConfigHolder config,
      ConfigFreshness freshness,
      Digests digests,
      List<String> operatorKeyDigests) {
    this.config = Objects.requireNonNull(config, "config is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.digests = Objects.requireNonNull(digests, "digests is null");
    this.operatorKeyDigests = List.copyOf(operatorKeyDigests);
  }

  /**
   * Authenticates a caller by its key.
   *
   * @param authorization value of the Authorization header; null if absent
   */
  public Result<Caller> authenticate(String authorization) {
    Optional<String> key = parseKey(authorization);
    if (key.isEmpty()) {
      return Result.err(ResultCode.KEY_MISSING, "send the header Authorization: Bearer KEY");
    }
    if (!freshness.mayServeKeyedRoutes()) {
      return Result.err(
          Refusal.of(
              ResultCode.CONFIG_STALE,
              "keys cannot be confirmed to be in force",
              STALE_RETRY_AFTER_MILLIS));
    }
    ConfigState state = config.current();
    String digest = digests.digest(key.get());
    return state
        .grant(digest)
        .filter(grant -> Digests.constantTimeEquals(grant.digest(), digest))
        .flatMap(grant -> callerFor(state, grant))
        .map(Result::ok)
        .orElseGet(() -> Result.err(ResultCode.KEY_UNKNOWN, "the key is not in force"));
  }

  /** Returns the caller for a route that a workspace has opened for requests without a key. */
  public Optional<Caller> findOpenRouteCaller(String service, String method, String path) {
    ConfigState state = config.current();
    return state
        .workspaceWithOpenRoute(service, method, path)
        .map(parameters -> new Caller(state, parameters, Optional.empty()));
  }

  /** Authenticates an operator; returns the first eight characters of the key digest. */
  public Result<String> authenticateOperator(String authorization) {
    String digest = parseKey(authorization).map(digests::digest).orElse("");
    return operatorKeyDigests.stream()
        .filter(each -> Digests.constantTimeEquals(each, digest))
        .findFirst()
        .map(each -> Result.ok(each.substring(0, Math.min(8, each.length()))))
        .orElseGet(
            () -> Result.err(ResultCode.OPERATOR_KEY_REFUSED, "the key is not an operator's"));
  }

  private static Optional<String> parseKey(String authorization) {
    if (authorization == null
        || authorization.length() > MAX_HEADER_LENGTH
        || !authorization.startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    String key = authorization.substring(BEARER_PREFIX.length()).trim();
    return key.isEmpty() ? Optional.empty() : Optional.of(key);
  }

  private static Optional<Caller> callerFor(ConfigState state, KeyGrant grant) {
    Optional<WorkspaceParameters> parameters = state.workspace(grant.workspace());
    return parameters.map(found -> new Caller(state, found, Optional.of(grant.digest())));
  }
}
