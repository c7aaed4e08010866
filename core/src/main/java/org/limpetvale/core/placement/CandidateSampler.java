package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.limpetvale.core.fleet.Upstream;

/**
 * Samples the engines that an entry considers for a request.
 *
 * <p>Between two load reports, many entries would all rate the same engine best and overload it. A
 * fresh random sample for each request spreads their choices.
 */
public final class CandidateSampler {
  /** Number of entries up to which each entry considers all engines. */
  private static final double MAX_ENTRIES_WITHOUT_SAMPLING = 6;

  /** Number of engines up to which all of them are considered. */
  private static final int MAX_ENGINES_WITHOUT_SAMPLING = 6;

  private CandidateSampler() {}

  /**
   * Returns a random sample of the engines, or all of them if there are few entries or engines.
   *
   * @param engines engines that may take the request
   * @param entries number of entries that place requests on these engines
   * @param alwaysIncluded selects engines that are always included, such as those that have the
   *     request's prefix cached
   * @param random supplies random numbers from 0 inclusive to 1 exclusive
   */
  public static List<Upstream> sample(
      List<Upstream> engines,
      int entries,
      Predicate<Upstream> alwaysIncluded,
      DoubleSupplier random) {
    Objects.requireNonNull(engines, "engines is null");
    Objects.requireNonNull(alwaysIncluded, "alwaysIncluded is null");
    if (engines.size() <= MAX_ENGINES_WITHOUT_SAMPLING) {
      return engines;
    }
    double share = sampledShare(entries);
    List<Upstream> sample =
        engines.stream()
            .filter(each -> alwaysIncluded.test(each) || random.getAsDouble() < share)
            .toList();
    return sample.isEmpty() ? engines : sample;
  }

  /** Returns the fraction of the engines that an entry considers. */
  static double sampledShare(int entries) {
    return Math.min(1, Math.sqrt(MAX_ENTRIES_WITHOUT_SAMPLING / Math.max(1, entries)));
  }
}
