package org.limpetvale.core.placement;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetvale.core.fleet.Upstream;

/**
 * Keeps streams with short gap targets on engines of their own.
 *
 * <p>The load that it answers: long prompts are read in chunks between the tokens of the streams
 * beside them, and a few chunks in a row break a short gap target. The split is by rendezvous order
 * of the engines, so that all entries agree on it up to its size.
 *
 * @param tightPoolIds ids of the engines for streams with short gap targets
 * @param shortestGapMillis the shortest of these targets; 0 without such streams
 */
public record EnginePools(Set<String> tightPoolIds, long shortestGapMillis) {
  /** Engines that are not split, as no stream has a short gap target. */
  public static final EnginePools UNSPLIT = new EnginePools(Set.of(), 0);

  /**
   * Share of an engine's slots for streams with short gap targets: their own prompts come in
   * clumps, and a few of them within one event break the gaps of all.
   */
  private static final double SLOT_SHARE = 0.5;

  /** Largest share of the engines that are set apart. */
  private static final double LARGEST_SHARE = 0.4;

  private static final int FEWEST_ENGINES_TO_SPLIT = 4;
  private static final int FEWEST_TIGHT_ENGINES = 2;
  private static final String POOL_KEY = "tight-pool";

  public EnginePools {
    tightPoolIds = Set.copyOf(tightPoolIds);
  }

  /**
   * Splits the engines of a service.
   *
   * @param engines the engines that take new requests
   * @param tightStreams streams with short gap targets in the whole fleet, estimated
   * @param shortestGapMillis the shortest of these targets; 0 without such streams
   */
  public static EnginePools split(
      List<Upstream> engines, double tightStreams, long shortestGapMillis) {
    if (tightStreams <= 0 || engines.size() < FEWEST_ENGINES_TO_SPLIT) {
      return new EnginePools(Set.of(), shortestGapMillis);
    }
    int wanted = (int) Math.ceil(tightStreams / streamsPerEngine(engines));
    int most = (int) Math.max(1, Math.floor(engines.size() * LARGEST_SHARE));
    int count = Math.min(most, Math.max(FEWEST_TIGHT_ENGINES, wanted));
    return new EnginePools(
        RendezvousHashing.order(POOL_KEY, engines).stream()
            .limit(count)
            .map(Upstream::id)
            .collect(Collectors.toSet()),
        shortestGapMillis);
  }

  private static double streamsPerEngine(List<Upstream> engines) {
    double slots = engines.stream().mapToInt(Upstream::slots).average().orElse(1);
    return Math.max(1, SLOT_SHARE * slots);
  }
}
