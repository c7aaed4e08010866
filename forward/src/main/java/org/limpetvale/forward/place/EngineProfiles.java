package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.placement.EngineModelEstimator;
import org.limpetvale.core.placement.EnginePools;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.placement.TightGapTargets;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;

/**
 * What the entries have measured about the engines of each service. Must only be used on the event
 * loop.
 *
 * <p>Each entry reports its measurements to the others, and all of them use the median, so that
 * they split the engines into the same pools.
 */
public final class EngineProfiles {
  /** Time for which computed medians and the speeds of the engines are cached. */
  private static final long CACHE_MILLIS = 250;

  private final PeerReports peers;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, ServiceProfile> services = new HashMap<>();
  private Function<String, Set<Long>> gapTargetsMillis = service -> Set.of();

  /** The measurements and pools of one service. */
  private static final class ServiceProfile {
    private final EngineModelEstimator estimator = EngineModelEstimator.empty();
    private final TightGapTargets gaps = TightGapTargets.empty();

    /** The last logged rating by gap target, in milliseconds. */
    private final Map<Long, Boolean> loggedTight = new HashMap<>();

    private EngineModel model = EngineModel.DEFAULT;
    private long modelUntilMillis = Long.MIN_VALUE;
    private EnginePools pools = EnginePools.UNSPLIT;
    private Map<String, Double> unusualSpeeds = Map.of();
    private long speedsUntilMillis = Long.MIN_VALUE;

    /** Inputs of the current pools; null while there are no pools. */
    private Split split;
  }

  private EngineProfiles(PeerReports peers, TimerService timer, EventLog log) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns an instance without measurements. */
  public static EngineProfiles of(PeerReports peers, TimerService timer, EventLog log) {
    return new EngineProfiles(peers, timer, log);
  }

  /**
   * Sets what tells which gap targets the routes of a service have.
   *
   * @param byService returns the targets of a service in milliseconds
   */
  public void setGapTargets(Function<String, Set<Long>> byService) {
    gapTargetsMillis = Objects.requireNonNull(byService, "byService is null");
  }

  /** Returns the model of a service's engines: the median over all entries. */
  public EngineModel model(String service) {
    ServiceProfile profile = service(service);
    long nowMillis = timer.nowMillis();
    if (nowMillis >= profile.modelUntilMillis) {
      profile.model = median(service, profile);
      profile.modelUntilMillis = nowMillis + CACHE_MILLIS;
    }
    return profile.model;
  }

  /**
   * Returns whether a route's token gap target is too short for engines that also process long
   * prompts.
   */
  public boolean isTight(String service, Route route) {
    ServiceProfile profile = service(service);
    long targetMillis = route.targetGapMillis();
    EngineModel model = model(service);
    profile.gaps.setConfigured(gapTargetsMillis.apply(service));
    boolean tight = profile.gaps.isTight(targetMillis, model, timer.nowMillis());
    Boolean before = profile.loggedTight.put(targetMillis, tight);
    if (tight != Boolean.TRUE.equals(before)) {
      log.stateChange(
          "gap_target_rated",
          field("service", service),
          field("targetGapMillis", targetMillis),
          field("tight", tight),
          field("readingPauseMillis", model.readingPauseMillis()),
          field("idlePauseMillis", model.idlePauseMillis()),
          field("prefillTokensPerMilli", model.prefillTokensPerMilli()),
          field("entriesHeard", peers.engineModels(service).size()));
    }
    return tight;
  }

  /**
   * Splits the engines of a service into pools, sized by the number of streams with short gap
   * targets.
   *
   * @param lastingSpeed returns the speed of an engine relative to the usual one
   */
  EnginePools split(
      String service,
      List<Upstream> engines,
      double tightStreams,
      ToDoubleFunction<Upstream> lastingSpeed) {
    ServiceProfile profile = service(service);
    long shortestMillis = profile.gaps.shortestTightMillis(timer.nowMillis());
    if (shortestMillis <= 0) {
      profile.pools = EnginePools.UNSPLIT;
      profile.split = null;
      return profile.pools;
    }
    Split split =
        new Split(
            engines,
            Math.ceil(tightStreams),
            shortestMillis,
            unusualSpeeds(profile, engines, lastingSpeed));
    if (!split.equals(profile.split)) {
      profile.pools =
          EnginePools.split(engines, split.streams(), shortestMillis, split.unusualSpeeds());
      profile.split = split;
    }
    return profile.pools;
  }

  /** Returns the speeds of the engines that are not of the usual one, from time to time anew. */
  private Map<String, Double> unusualSpeeds(
      ServiceProfile profile, List<Upstream> engines, ToDoubleFunction<Upstream> lastingSpeed) {
    long nowMillis = timer.nowMillis();
    if (nowMillis >= profile.speedsUntilMillis) {
      Map<String, Double> speeds = new HashMap<>();
      for (Upstream engine : engines) {
        double speed = lastingSpeed.applyAsDouble(engine);
        if (speed != 1) {
          speeds.put(engine.id(), speed);
        }
      }
      profile.unusualSpeeds = Map.copyOf(speeds);
      profile.speedsUntilMillis = nowMillis + CACHE_MILLIS;
    }
    return profile.unusualSpeeds;
  }

  /** The inputs of a split into pools. */
  private record Split(
      List<Upstream> engines,
      double streams,
      long shortestMillis,
      Map<String, Double> unusualSpeeds) {}

  /**
   * Returns the models measured by this entry alone, by service, to report to the other entries.
   */
  public Map<String, EngineModel> ownModels() {
    Map<String, EngineModel> models = new HashMap<>();
    services.forEach(
        (name, profile) -> profile.estimator.model().ifPresent(model -> models.put(name, model)));
    return models;
  }

  /** Records a pause between two events of a stream. */
  public void notePause(Upstream upstream, long millis) {
    ServiceProfile profile = service(upstream.service());
    profile.estimator.recordPause(millis, !profile.pools.tightPoolIds().contains(upstream.id()));
  }

  /**
   * Records the first event of a request that was sent while its engine had no other prompt to
   * process.
   *
   * @param cachedTokens prompt tokens that were expected in the engine's cache
   * @param millis time from sending the request to the event
   */
  public void noteRead(Upstream upstream, PromptShape shape, int cachedTokens, long millis) {
    service(upstream.service()).estimator.recordPrefill(shape.promptTokens(), cachedTokens, millis);
  }

  private ServiceProfile service(String name) {
    return services.computeIfAbsent(name, key -> new ServiceProfile());
  }

  private EngineModel median(String name, ServiceProfile profile) {
    List<EngineModel> models = new ArrayList<>(peers.engineModels(name));
    Optional<EngineModel> own = profile.estimator.model();
    own.ifPresent(models::add);
    if (models.isEmpty()) {
      return EngineModel.DEFAULT;
    }
    return new EngineModel(
        median(models, EngineModel::prefillTokensPerMilli),
        median(models, EngineModel::idlePauseMillis),
        median(models, EngineModel::readingPauseMillis));
  }

  /**
   * Returns the median of the known values of a figure; 0 means unknown, both in the input and in
   * the result.
   */
  private static double median(List<EngineModel> models, ToDoubleFunction<EngineModel> figure) {
    double[] known =
        models.stream().mapToDouble(figure).filter(each -> each > 0).sorted().toArray();
    return known.length == 0 ? 0 : known[known.length / 2];
  }
}
