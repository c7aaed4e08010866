package org.limpetvale.forward.place;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
 * What the entries have learned of the engines of each service; for the event loop only.
 *
 * <p>Each entry tells the others what it has learned, and all go by the median, so that they split
 * the engines alike.
 */
public final class EngineProfiles {
  /** Time for which a median of what all entries have learned is used. */
  private static final long MEDIAN_MILLIS = 250;

  private final PeerReports peers;
  private final TimerService timer;
  private final EventLog log;
  private final Map<String, Service> services = new HashMap<>();

  /** What is known of the engines of one service. */
  private static final class Service {
    private final EngineModelEstimator learner = EngineModelEstimator.empty();
    private final TightGapTargets gaps = TightGapTargets.empty();

    /** How each gap target was last logged. */
    private final Map<Long, Boolean> loggedTight = new HashMap<>();

    private EngineModel model = EngineModel.DEFAULT;
    private long modelUntilMillis = Long.MIN_VALUE;
    private EnginePools pools = EnginePools.UNSPLIT;

    /** What the pools were made of; null while there are none. */
    private Split split;
  }

  private EngineProfiles(PeerReports peers, TimerService timer, EventLog log) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /** Returns a book of engines that have not been seen at work. */
  public static EngineProfiles of(PeerReports peers, TimerService timer, EventLog log) {
    return new EngineProfiles(peers, timer, log);
  }

  // -- what is known

  /** Returns what is known of the engines of a service. */
  public EngineModel model(String service) {
    Service known = service(service);
    long nowMillis = timer.nowMillis();
    if (nowMillis >= known.modelUntilMillis) {
      known.model = median(service, known);
      known.modelUntilMillis = nowMillis + MEDIAN_MILLIS;
    }
    return known.model;
  }

  /** Tells whether the gap target of a route is too short for engines that read long prompts. */
  public boolean isTight(String service, Route route) {
    Service known = service(service);
    long targetMillis = route.targetGapMillis();
    EngineModel model = model(service);
    boolean tight = known.gaps.isTight(targetMillis, model, timer.nowMillis());
    Boolean before = known.loggedTight.put(targetMillis, tight);
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

  /** Splits the engines of a service by the number of streams with short gap targets. */
  EnginePools split(String service, List<Upstream> engines, double tightStreams) {
    Service known = service(service);
    long shortestMillis = known.gaps.shortestTightMillis(timer.nowMillis());
    if (shortestMillis <= 0) {
      known.pools = EnginePools.UNSPLIT;
      known.split = null;
      return known.pools;
    }
    Split split = new Split(engines, Math.ceil(tightStreams), shortestMillis);
    if (!split.sameAs(known.split)) {
      known.pools = EnginePools.split(engines, split.streams(), shortestMillis);
      known.split = split;
    }
    return known.pools;
  }

  /** What a split of engines was made of. */
  private record Split(List<Upstream> engines, double streams, long shortestMillis) {
    /** Compares the engines by identity, as a view hands the same list out while it holds. */
    @SuppressWarnings("ReferenceEquality")
    boolean sameAs(Split other) {
      return other != null
          && engines == other.engines
          && streams == other.streams
          && shortestMillis == other.shortestMillis;
    }
  }

  /** Returns what this entry itself has learned, by service, for the other entries. */
  public Map<String, EngineModel> ownModels() {
    Map<String, EngineModel> told = new HashMap<>();
    services.forEach(
        (name, known) -> known.learner.model().ifPresent(model -> told.put(name, model)));
    return told;
  }

  // -- what is learned

  /** Notes a pause between two events of a stream. */
  public void notePause(Upstream upstream, long millis) {
    Service known = service(upstream.service());
    known.learner.recordPause(millis, !known.pools.tightPoolIds().contains(upstream.id()));
  }

  /**
   * Notes the first event of a request that found nothing unread at its engine.
   *
   * @param cachedTokens tokens of its prompt that were expected in the engine's cache
   * @param millis time from its sending to the event
   */
  public void noteRead(Upstream upstream, PromptShape shape, int cachedTokens, long millis) {
    service(upstream.service()).learner.recordPrefill(shape.promptTokens(), cachedTokens, millis);
  }

  // -- parts

  private Service service(String name) {
    return services.computeIfAbsent(name, key -> new Service());
  }

  private EngineModel median(String name, Service known) {
    List<EngineModel> models = new ArrayList<>(peers.engineModels(name));
    Optional<EngineModel> own = known.learner.model();
    own.ifPresent(models::add);
    if (models.isEmpty()) {
      return EngineModel.DEFAULT;
    }
    return new EngineModel(
        median(models, EngineModel::prefillTokensPerMilli),
        median(models, EngineModel::idlePauseMillis),
        median(models, EngineModel::readingPauseMillis));
  }

  /** Returns the median of what is known of a figure, 0 standing for what is not known. */
  private static double median(List<EngineModel> models, ToDoubleFunction<EngineModel> figure) {
    double[] known =
        models.stream().mapToDouble(figure).filter(each -> each > 0).sorted().toArray();
    return known.length == 0 ? 0 : known[known.length / 2];
  }
}
