package org.limpetvale.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Selects the upstreams that one entry stays connected to. */
public final class SubsetSelector {
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private SubsetSelector() {}

  /**
   * Selects a stable subset by rendezvous hashing, preferring upstreams in the entry's zone.
   *
   * @param all all upstreams of a model or service
   * @param entryId id of the entry
   * @param entryZone availability zone of the entry
   * @param size maximum size of the subset; at least a third of it lies in other zones if possible
   * @param name returns the name of an upstream
   * @param zone returns the zone of an upstream
   * @return the selected upstreams
   */
  public static <T> List<T> select(
      List<T> all,
      String entryId,
      String entryZone,
      int size,
      Function<T, String> name,
      Function<T, String> zone) {
    if (all.size() <= size) {
      return List.copyOf(all);
    }
    Comparator<T> byHash = Comparator.comparingLong(each -> hash(entryId, name.apply(each)));
    List<T> sameZone =
        all.stream().filter(each -> zone.apply(each).equals(entryZone)).sorted(byHash).toList();
    List<T> otherZones =
        all.stream().filter(each -> !zone.apply(each).equals(entryZone)).sorted(byHash).toList();
    int otherZoneCount = Math.min(otherZones.size(), Math.max(size / 3, size - sameZone.size()));
    return java.util.stream.Stream.concat(
            sameZone.stream().limit(size - (long) otherZoneCount),
            otherZones.stream().limit(otherZoneCount))
        .toList();
  }

  private static long hash(String entryId, String vm) {
    long mixed = (entryId.hashCode() * 31L + vm.hashCode()) * HASH_MULTIPLIER;
    mixed ^= mixed >>> 31;
    mixed *= HASH_MULTIPLIER;
    return mixed ^ (mixed >>> 30);
  }
}
