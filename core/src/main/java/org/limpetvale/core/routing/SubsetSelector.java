package org.limpetvale.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Chooses the upstreams that one entry keeps connections to. */
public final class SubsetSelector {
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private SubsetSelector() {}

  /**
   * Chooses a stable subset by rendezvous hashing, upstreams of the entry's zone first.
   *
   * @param all upstreams of one model or service
   * @param entryId the entry
   * @param entryZone zone of the entry
   * @param size most upstreams to keep; at least a third of them lie in other zones when there are
   *     such
   * @param name name of an upstream
   * @param zone zone of an upstream
   * @return the subset
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
    List<T> near =
        all.stream().filter(each -> zone.apply(each).equals(entryZone)).sorted(byHash).toList();
    List<T> far =
        all.stream().filter(each -> !zone.apply(each).equals(entryZone)).sorted(byHash).toList();
    int farCount = Math.min(far.size(), Math.max(size / 3, size - near.size()));
    return java.util.stream.Stream.concat(
            near.stream().limit(size - (long) farCount), far.stream().limit(farCount))
        .toList();
  }

  private static long hash(String entryId, String vm) {
    long mixed = (entryId.hashCode() * 31L + vm.hashCode()) * MIX;
    mixed ^= mixed >>> 31;
    mixed *= MIX;
    return mixed ^ (mixed >>> 30);
  }
}
