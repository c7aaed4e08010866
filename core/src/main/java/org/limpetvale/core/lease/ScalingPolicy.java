package org.limpetvale.core.lease;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides which upstream of a zone to start or stop next. */
public final class ScalingPolicy {

  /**
   * Targets of the loop.
   *
   * @param startAboveLoad load by capacity above which an upstream is started
   * @param stopBelowLoad load by capacity that the rest must stay below for a stop
   * @param minUpstreams fewest upstreams that run in the zone
   */
  public record Thresholds(double startAboveLoad, double stopBelowLoad, int minUpstreams) {}

  /**
   * An upstream as the loop sees it.
   *
   * @param vm name of the VM
   * @param pool model or service that it serves
   * @param running whether it runs
   * @param leaving whether it is on its way out
   * @param load requests that run or wait
   * @param capacity requests that can run at the same time
   */
  public record UpstreamStatus(
      String vm, String pool, boolean running, boolean leaving, int load, int capacity) {}

  /** What the loop wants to do. */
  public sealed interface Action {
    /** Start an upstream. */
    record Start(String vm) implements Action {}

    /** Drain an upstream and stop it once it is empty. */
    record Stop(String vm) implements Action {}
  }

  private ScalingPolicy() {}

  /**
   * Decides on one step for one pool of a zone.
   *
   * @param units upstreams of the pool in the zone
   * @param targets targets
   * @param quietMillis time since the pool's load was last above the stop target, in milliseconds
   * @param stopAfterMillis quiet time before a stop, in milliseconds
   * @return the step, or empty
   */
  public static Optional<Action> decide(
      List<UpstreamStatus> units, Thresholds targets, long quietMillis, long stopAfterMillis) {
    List<UpstreamStatus> serving = units.stream().filter(u -> u.running() && !u.leaving()).toList();
    int capacity = serving.stream().mapToInt(UpstreamStatus::capacity).sum();
    int load = serving.stream().mapToInt(UpstreamStatus::load).sum();
    Optional<UpstreamStatus> idle =
        units.stream().filter(u -> !u.running()).min(Comparator.comparing(UpstreamStatus::vm));
    boolean tooFew = serving.size() < targets.minUpstreams();
    if (idle.isPresent() && (tooFew || load > targets.startAboveLoad() * capacity)) {
      return Optional.of(new Action.Start(idle.get().vm()));
    }
    if (serving.size() > targets.minUpstreams() && quietMillis >= stopAfterMillis) {
      UpstreamStatus least =
          serving.stream().min(Comparator.comparingInt(UpstreamStatus::load)).orElseThrow();
      int rest = capacity - least.capacity();
      if (load < targets.stopBelowLoad() * rest) {
        return Optional.of(new Action.Stop(least.vm()));
      }
    }
    return Optional.empty();
  }
}
