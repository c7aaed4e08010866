package org.limpetvale.core.lease;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides which upstream of an availability zone to start or stop next. */
public final class ScalingPolicy {

  /**
   * Scaling thresholds.
   *
   * @param startAboveLoad load divided by capacity above which an upstream is started
   * @param stopBelowLoad load divided by the capacity left after a stop, below which an upstream is
   *     stopped
   * @param minUpstreams minimum number of running upstreams of the pool in the zone
   */
  public record Thresholds(double startAboveLoad, double stopBelowLoad, int minUpstreams) {}

  /**
   * The status of an upstream.
   *
   * @param vm name of the VM
   * @param pool name of the model or service that it serves
   * @param running whether it runs
   * @param leaving whether it is draining or about to be stopped
   * @param load number of running and waiting requests
   * @param capacity maximum number of concurrently running requests
   */
  public record UpstreamStatus(
      String vm, String pool, boolean running, boolean leaving, int load, int capacity) {}

  /** A scaling action. */
  public sealed interface Action {
    /** Starts an upstream. */
    record Start(String vm) implements Action {}

    /** Drains an upstream and stops it when no requests are left. */
    record Stop(String vm) implements Action {}
  }

  private ScalingPolicy() {}

  /**
   * Decides on the next action for a pool in an availability zone.
   *
   * @param upstreams upstreams of the pool in the zone
   * @param thresholds scaling thresholds
   * @param quietMillis time since the pool's load was last at or above the stop threshold, in
   *     milliseconds
   * @param stopAfterMillis minimum quiet time before an upstream is stopped, in milliseconds
   * @return the action; empty if none is needed
   */
  public static Optional<Action> decide(
      List<UpstreamStatus> upstreams,
      Thresholds thresholds,
      long quietMillis,
      long stopAfterMillis) {
    List<UpstreamStatus> serving =
        upstreams.stream().filter(upstream -> upstream.running() && !upstream.leaving()).toList();
    int capacity = serving.stream().mapToInt(UpstreamStatus::capacity).sum();
    int load = serving.stream().mapToInt(UpstreamStatus::load).sum();
    Optional<UpstreamStatus> stopped =
        upstreams.stream()
            .filter(upstream -> !upstream.running())
            .min(Comparator.comparing(UpstreamStatus::vm));
    boolean tooFew = serving.size() < thresholds.minUpstreams();
    if (stopped.isPresent() && (tooFew || load > thresholds.startAboveLoad() * capacity)) {
      return Optional.of(new Action.Start(stopped.get().vm()));
    }
    if (serving.size() > thresholds.minUpstreams() && quietMillis >= stopAfterMillis) {
      UpstreamStatus leastLoaded =
          serving.stream().min(Comparator.comparingInt(UpstreamStatus::load)).orElseThrow();
      int remainingCapacity = capacity - leastLoaded.capacity();
      if (load < thresholds.stopBelowLoad() * remainingCapacity) {
        return Optional.of(new Action.Stop(leastLoaded.vm()));
      }
    }
    return Optional.empty();
  }
}
