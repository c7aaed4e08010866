package org.limpetvale.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetvale.core.fleet.Upstream;

/**
 * Orders upstreams and entries by rendezvous hashing, so that all entries agree on the order
 * without communication.
 */
public final class RendezvousHashing {
  private static final long MIX_A = 0xbf58476d1ce4e5b9L;
  private static final long MIX_B = 0x94d049bb133111ebL;

  private RendezvousHashing() {}

  /**
   * Returns the upstreams in the order for a key.
   *
   * @param key the key; equal keys yield equal orders
   * @param upstreams upstreams to order
   */
  public static List<Upstream> order(String key, List<Upstream> upstreams) {
    long seed = mix(key.hashCode());
    return upstreams.stream()
        .sorted(
            Comparator.comparingLong((Upstream each) -> weight(seed, each))
                .thenComparing(Upstream::id))
        .toList();
  }

  /**
   * Returns the first upstreams of the order for a key.
   *
   * @param count maximum number of upstreams to return
   */
  public static List<Upstream> first(String key, List<Upstream> upstreams, int count) {
    long seed = mix(key.hashCode());
    Upstream[] first = new Upstream[Math.min(count, upstreams.size())];
    long[] weights = new long[first.length];
    for (Upstream each : upstreams) {
      insert(each, weight(seed, each), first, weights);
    }
    return List.of(first);
  }

  /**
   * Returns the first id of the order for a key in one of many rounds; empty without ids.
   *
   * @param round number of the round; each has an order of its own
   */
  public static Optional<String> first(String key, long round, Collection<String> ids) {
    long seed = mix(mix(key.hashCode()) ^ round);
    String first = null;
    long firstWeight = 0;
    for (String id : ids) {
      long weight = weight(seed, id);
      if (first == null
          || weight < firstWeight
          || weight == firstWeight && id.compareTo(first) < 0) {
        first = id;
        firstWeight = weight;
      }
    }
    return Optional.ofNullable(first);
  }

  /** Inserts an upstream at its position among the first ones, if it belongs there. */
  private static void insert(Upstream upstream, long weight, Upstream[] first, long[] weights) {
    Upstream moving = upstream;
    long movingWeight = weight;
    for (int i = 0; i < first.length; i++) {
      if (first[i] == null || precedes(moving, movingWeight, first[i], weights[i])) {
        Upstream displaced = first[i];
        long displacedWeight = weights[i];
        first[i] = moving;
        weights[i] = movingWeight;
        if (displaced == null) {
          return;
        }
        moving = displaced;
        movingWeight = displacedWeight;
      }
    }
  }

  private static boolean precedes(Upstream one, long weight, Upstream other, long otherWeight) {
    return weight < otherWeight || weight == otherWeight && one.id().compareTo(other.id()) < 0;
  }

  private static long weight(long seed, Upstream upstream) {
    return weight(seed, upstream.id());
  }

  private static long weight(long seed, String id) {
    return mix(seed ^ mix(id.hashCode()));
  }

  private static long mix(long value) {
    long x = value + 0x9e3779b97f4a7c15L;
    x = (x ^ (x >>> 30)) * MIX_A;
    x = (x ^ (x >>> 27)) * MIX_B;
    return x ^ (x >>> 31);
  }
}
