package org.limpetvale.core.lease;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides which upstream of a zone to start or stop next. */
public final class Scaling {

  /**
   * Targets of the loop.
   *
   * @param startAbove load by capacity above which an upstream is started
   * @param stopBelow load by capacity that the rest must stay below for a stop
   * @param least fewest upstreams that run in the zone
   */
  public record Targets(double startAbove, double stopBelow, int least) {}

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
  public record Unit(
      String vm, String pool, boolean running, boolean leaving, int load, int capacity) {}

  /** What the loop wants to do. */
  public sealed interface Wish {
    /** Start an upstream. */
    record Start(String vm) implements Wish {}

    /** Drain an upstream and stop it once it is empty. */
    record Stop(String vm) implements Wish {}
  }

  private Scaling() {}

  /**
   * Decides on one step for one pool of a zone.
   *
   * @param units upstreams of the pool in the zone
   * @param targets targets
   * @param quietMillis time since the pool's load was last above the stop target, in milliseconds
   * @param stopAfterMillis quiet time before a stop, in milliseconds
   * @return the step, or empty
   */
  public static Optional<Wish> decide(
      List<Unit> units, Targets targets, long quietMillis, long stopAfterMillis) {
    List<Unit> serving = units.stream().filter(u -> u.running() && !u.leaving()).toList();
    int capacity = serving.stream().mapToInt(Unit::capacity).sum();
    int load = serving.stream().mapToInt(Unit::load).sum();
    Optional<Unit> idle =
        units.stream().filter(u -> !u.running()).min(Comparator.comparing(Unit::vm));
    boolean tooFew = serving.size() < targets.least();
    if (idle.isPresent() && (tooFew || load > targets.startAbove() * capacity)) {
      return Optional.of(new Wish.Start(idle.get().vm()));
    }
    if (serving.size() > targets.least() && quietMillis >= stopAfterMillis) {
      Unit least = serving.stream().min(Comparator.comparingInt(Unit::load)).orElseThrow();
      int rest = capacity - least.capacity();
      if (load < targets.stopBelow() * rest) {
        return Optional.of(new Wish.Stop(least.vm()));
      }
    }
    return Optional.empty();
  }
}
