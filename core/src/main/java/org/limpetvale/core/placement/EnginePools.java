package org.limpetvale.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetvale.core.fleet.Upstream;

/**
 * Split of a service's engines into a tight pool for streams with short gap targets and a pool for
 * all other requests.
 *
 * <p>Engines read long prompts in chunks between the tokens of their running streams, and a few
 * chunks in a row exceed a short gap target. The tight pool takes the fastest engines, and of those
 * of equal speed a prefix of the rendezvous order, so that entries which know the same speeds can
 * disagree only on its size.
 *
 * @param tightPoolIds ids of the engines in the tight pool
 * @param shortestGapMillis the shortest of these gap targets; 0 without such streams
 */
public record EnginePools(Set<String> tightPoolIds, long shortestGapMillis) {
  /** No split, because no stream has a short gap target. */
  public static final EnginePools UNSPLIT = new EnginePools(Set.of(), 0);

  /**
   * Share of an engine's slots that tight streams may fill. Their own prompts arrive in bursts, and
   * a few of them within one event make all streams on the engine miss their gap targets.
   */
  private static final double TIGHT_SLOT_SHARE = 0.5;

  /** Largest share of the engines in the tight pool. */
  private static final double MAX_TIGHT_SHARE = 0.4;

  /** Ratio of the speeds of two neighbouring classes. */
  private static final double SPEED_CLASS_FACTOR = 1.5;

  private static final int MIN_ENGINES_TO_SPLIT = 4;
  private static final int MIN_TIGHT_ENGINES = 2;
  private static final String POOL_KEY = "tight-pool";

  public EnginePools {
    tightPoolIds = Set.copyOf(tightPoolIds);
  }

  /**
   * Splits the engines of a service, all of the same speed.
   *
   * @param engines engines that accept new requests
   * @param tightStreams estimated number of streams with short gap targets in the fleet
   * @param shortestGapMillis the shortest of these targets; 0 without such streams
   */
  public static EnginePools split(
      List<Upstream> engines, double tightStreams, long shortestGapMillis) {
    return split(engines, tightStreams, shortestGapMillis, Map.of());
  }

  /**
   * Splits the engines of a service.
   *
   * @param engines engines that accept new requests
   * @param tightStreams estimated number of streams with short gap targets in the fleet
   * @param shortestGapMillis the shortest of these targets; 0 without such streams
   * @param speeds speeds by engine id relative to the usual one, which is 1 and that of any other
   *     engine
   */
  public static EnginePools split(
      List<Upstream> engines,
      double tightStreams,
      long shortestGapMillis,
      Map<String, Double> speeds) {
    if (tightStreams <= 0 || engines.size() < MIN_ENGINES_TO_SPLIT) {
      return new EnginePools(Set.of(), shortestGapMillis);
    }
    int needed = (int) Math.ceil(tightStreams / streamsPerEngine(engines));
    int maxCount = (int) Math.max(1, Math.floor(engines.size() * MAX_TIGHT_SHARE));
    int count = Math.min(maxCount, Math.max(MIN_TIGHT_ENGINES, needed));
    return new EnginePools(
        RendezvousHashing.order(POOL_KEY, engines).stream()
            .sorted(Comparator.comparingInt((Upstream each) -> -speedClass(each, speeds)))
            .limit(count)
            .map(Upstream::id)
            .collect(Collectors.toSet()),
        shortestGapMillis);
  }

  /**
   * Returns the class of an engine's speed; a higher one is faster. The classes are wide, so that
   * entries whose estimates differ a little put an engine into the same one.
   */
  private static int speedClass(Upstream engine, Map<String, Double> speeds) {
    double speed = speeds.getOrDefault(engine.id(), 1.0);
    return (int) Math.round(Math.log(speed) / Math.log(SPEED_CLASS_FACTOR));
  }

  private static double streamsPerEngine(List<Upstream> engines) {
    double slots = engines.stream().mapToInt(Upstream::slots).average().orElse(1);
    return Math.max(1, TIGHT_SLOT_SHARE * slots);
  }
}
