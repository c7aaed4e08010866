package org.limpetvale.forward.route;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Workspace;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.forward.spi.RequestHead;

/** Finds the route of a request and checks its key against the configuration in force. */
public final class Planner {
  /** Time after which a caller may find another entry that knows the configuration. */
  private static final long ELSEWHERE_MILLIS = 150;

  /** The configuration as the planner sees it. */
  public interface ConfigView {
    /** Returns the newest configuration, if one is known. */
    Optional<FleetConfig> config();

    /** Returns the time since the configuration was known to be the newest. */
    long confirmedAgeMillis();

    /** Tells whether the configuration is recent enough for its keys to be trusted. */
    boolean keysAreCurrent();
  }

  private final Supplier<ConfigView> knowledge;

  private Planner(Supplier<ConfigView> knowledge) {
    this.knowledge = Objects.requireNonNull(knowledge, "knowledge is null");
  }

  /** Returns a planner. */
  public static Planner of(Supplier<ConfigView> knowledge) {
    return new Planner(knowledge);
  }

  /**
   * Plans a request.
   *
   * @param head what its header says
   * @param host its Host header
   * @param path its path without the query
   */
  public Result<RequestPlan> plan(RequestHead head, String host, String path) {
    ConfigView known = knowledge.get();
    Optional<FleetConfig> config = known.config();
    if (config.isEmpty()) {
      return refuse(ResultCode.CONFIG_UNKNOWN, "no configuration is known yet");
    }
    Optional<Route> route = config.get().routes().find(host, path);
    if (route.isEmpty()) {
      return known.keysAreCurrent()
          ? Result.err(ResultCode.ROUTE_UNKNOWN, "no route for this host and path")
          : refuse(
              ResultCode.CONFIG_STALE, staleness(known, "the configuration may be out of date"));
    }
    return workspace(known, config.get(), route.get(), head)
        .flatMap(workspace -> Result.ok(plan(config.get(), route.get(), workspace)));
  }

  private static RequestPlan plan(FleetConfig config, Route route, Optional<Workspace> workspace) {
    String service = route.chooseService(ThreadLocalRandom.current().nextDouble());
    return new RequestPlan(config.version(), route, service, config.service(service), workspace);
  }

  private static Result<Optional<Workspace>> workspace(
      ConfigView known, FleetConfig config, Route route, RequestHead head) {
    if (route.open() || !config.keysRequired()) {
      return Result.ok(Optional.empty());
    }
    if (!known.keysAreCurrent()) {
      return refuse(
          ResultCode.CONFIG_STALE, staleness(known, "the keys cannot be confirmed to be current"));
    }
    if (head.key().isEmpty()) {
      return Result.err(ResultCode.KEY_MISSING, "the route needs a key");
    }
    return config
        .workspaceOf(head.key().get())
        .map(workspace -> Result.ok(Optional.of(workspace)))
        .orElseGet(() -> Result.err(ResultCode.KEY_UNKNOWN, "the key is not known"));
  }

  private static String staleness(ConfigView known, String what) {
    return what + "; last confirmed " + known.confirmedAgeMillis() + " ms ago";
  }

  private static <T> Result<T> refuse(ResultCode code, String detail) {
    long spread = ThreadLocalRandom.current().nextLong(ELSEWHERE_MILLIS);
    return Result.err(Refusal.of(code, detail, ELSEWHERE_MILLIS + spread));
  }
}
