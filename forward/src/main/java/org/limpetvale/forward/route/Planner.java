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

/** Finds the route of a request and checks its key against the current configuration. */
public final class Planner {
  /**
   * Minimum retry delay of a refused caller, which may then reach another entry that knows the
   * configuration. A random delay of the same length is added to spread the retries.
   */
  private static final long RETRY_ELSEWHERE_MILLIS = 150;

  /** The configuration and how current it is. */
  public interface ConfigView {
    /** Returns the latest known configuration, if any. */
    Optional<FleetConfig> config();

    /** Returns the time since the configuration was last confirmed to be the latest. */
    long confirmedAgeMillis();

    /** Returns whether the configuration was confirmed recently enough to trust its keys. */
    boolean keysAreCurrent();
  }

  private final Supplier<ConfigView> configView;

  private Planner(Supplier<ConfigView> configView) {
    this.configView = Objects.requireNonNull(configView, "configView is null");
  }

  /** Returns a planner that uses the supplied configuration. */
  public static Planner of(Supplier<ConfigView> configView) {
    return new Planner(configView);
  }

  /**
   * Plans a request.
   *
   * @param head decoded request header
   * @param host value of the Host header
   * @param path path without the query
   */
  public Result<RequestPlan> plan(RequestHead head, String host, String path) {
    ConfigView view = configView.get();
    Optional<FleetConfig> config = view.config();
    if (config.isEmpty()) {
      return refuse(ResultCode.CONFIG_UNKNOWN, "no configuration is known yet");
    }
    Optional<Route> route = config.get().routes().find(host, path);
    if (route.isEmpty()) {
      return view.keysAreCurrent()
          ? Result.err(ResultCode.ROUTE_UNKNOWN, "no route for this host and path")
          : refuse(
              ResultCode.CONFIG_STALE, staleness(view, "the configuration may be out of date"));
    }
    return workspace(view, config.get(), route.get(), head)
        .flatMap(workspace -> inRegions(plan(config.get(), route.get(), workspace)));
  }

  private static Result<RequestPlan> inRegions(RequestPlan plan) {
    return plan.allowedRegions().isNone()
        ? refuse(
            ResultCode.NO_REGION_ALLOWED,
            "route " + plan.route().name() + " and the workspace allow no common region")
        : Result.ok(plan);
  }

  private static RequestPlan plan(FleetConfig config, Route route, Optional<Workspace> workspace) {
    String service = route.chooseService(ThreadLocalRandom.current().nextDouble());
    return new RequestPlan(config.version(), route, service, config.service(service), workspace);
  }

  private static Result<Optional<Workspace>> workspace(
      ConfigView view, FleetConfig config, Route route, RequestHead head) {
    if (route.open() || !config.keysRequired()) {
      return Result.ok(Optional.empty());
    }
    if (!view.keysAreCurrent()) {
      return refuse(
          ResultCode.CONFIG_STALE, staleness(view, "the keys cannot be confirmed to be current"));
    }
    if (head.key().isEmpty()) {
      return Result.err(ResultCode.KEY_MISSING, "the route needs a key");
    }
    return config
        .workspaceOf(head.key().get())
        .map(workspace -> Result.ok(Optional.of(workspace)))
        .orElseGet(() -> Result.err(ResultCode.KEY_UNKNOWN, "the key is not known"));
  }

  private static String staleness(ConfigView view, String what) {
    return what + "; last confirmed " + view.confirmedAgeMillis() + " ms ago";
  }

  private static <T> Result<T> refuse(ResultCode code, String detail) {
    long spread = ThreadLocalRandom.current().nextLong(RETRY_ELSEWHERE_MILLIS);
    return Result.err(Refusal.of(code, detail, RETRY_ELSEWHERE_MILLIS + spread));
  }
}
