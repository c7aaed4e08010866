package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.limpetvale.core.fleet.Upstream;

/**
 * Draws the engines among which an entry chooses.
 *
 * <p>The load that it answers: many entries that choose between the reports of each other. All of
 * them see the same engine as the best one, and send it in one period what would have been enough
 * for many. An entry that looks at a part of the engines, drawn anew for each request, leaves the
 * rest to the others.
 */
public final class CandidateSampler {
  /** Entries up to which each looks at all engines. */
  private static final double FEW_ENTRIES = 6;

  /** Engines up to which all are looked at. */
  private static final int FEW_ENGINES = 6;

  private CandidateSampler() {}

  /**
   * Draws a part of the engines; all of them for few entries or engines.
   *
   * @param engines the engines that may take the request
   * @param entries number of entries that choose
   * @param always engines that are in the part in any case, as those that have its prefix
   * @param draw gives numbers from 0 inclusive to 1 exclusive
   */
  public static List<Upstream> sample(
      List<Upstream> engines, int entries, Predicate<Upstream> always, DoubleSupplier draw) {
    Objects.requireNonNull(engines, "engines is null");
    Objects.requireNonNull(always, "always is null");
    if (engines.size() <= FEW_ENGINES) {
      return engines;
    }
    double share = share(entries);
    List<Upstream> part =
        engines.stream().filter(each -> always.test(each) || draw.getAsDouble() < share).toList();
    return part.isEmpty() ? engines : part;
  }

  /** Returns the share of the engines that an entry looks at. */
  static double share(int entries) {
    return Math.min(1, Math.sqrt(FEW_ENTRIES / Math.max(1, entries)));
  }
}
