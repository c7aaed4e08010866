package org.limpetvale.core.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which gap targets of a service are tight: too short for engines that read long prompts.
 *
 * <p>Which targets the engines miss depends on their pauses. Of the missed targets, only the
 * shortest ones count as tight and get separate engines: the prompts of streams with longer targets
 * would make streams with shorter targets on the same engines miss theirs. Separate thresholds for
 * entering and leaving keep a target near the limit from changing with each sample, which would
 * move its streams between engines.
 *
 * <p>Not thread-safe.
 */
public final class TightGapTargets {
  /**
   * Share of a target that the estimated pauses must exceed before the target counts as missed. It
   * is below 1 because the pauses were observed with fewer streams than in a burst, and each stream
   * lengthens an engine step.
   */
  private static final double ENTER_SHARE = 0.8;

  /**
   * Share of a target that the estimated pauses must fall to before the target no longer counts as
   * missed.
   */
  private static final double LEAVE_SHARE = 0.65;

  /** Missed targets up to this multiple of the shortest one also count as tight. */
  private static final double NEAR_SHORTEST_FACTOR = 1.25;

  /** A target of at least this multiple of another one is much longer. */
  private static final double MUCH_LONGER_FACTOR = 2;

  /** Time after which a target without requests is removed. */
  private static final long RETENTION_MILLIS = 10_000;

  private final Map<Long, Rating> targets = new HashMap<>();
  private Set<Long> configured = Set.of();

  private record Rating(boolean exceeded, long requestedAtMillis) {}

  private TightGapTargets() {}

  /** Returns an instance without targets. */
  public static TightGapTargets empty() {
    return new TightGapTargets();
  }

  /**
   * Returns whether a gap target is tight, and records that a request uses it.
   *
   * @param targetGapMillis the gap target; 0 if the request has none
   * @param model estimated behaviour of the engines
   * @param nowMillis monotonic time in milliseconds
   */
  public boolean isTight(long targetGapMillis, EngineModel model, long nowMillis) {
    if (targetGapMillis <= 0) {
      return false;
    }
    Rating before = targets.get(targetGapMillis);
    boolean wasExceeded = before != null && before.exceeded();
    boolean exceeded =
        model.readingPauseMillis() > 0
            ? model.exceedsGapTarget(targetGapMillis, wasExceeded ? LEAVE_SHARE : ENTER_SHARE)
            : isAssumedExceeded(targetGapMillis);
    targets.put(targetGapMillis, new Rating(exceeded, nowMillis));
    return exceeded && targetGapMillis <= NEAR_SHORTEST_FACTOR * shortestTightMillis(nowMillis);
  }

  /**
   * Returns whether a target is taken for missed until the pauses are known: one of the shortest of
   * the service, if another one is much longer. Streams that bear much longer pauses bring longer
   * prompts, and a burst of those in the first seconds would make the others miss theirs.
   */
  private boolean isAssumedExceeded(long targetGapMillis) {
    if (configured.isEmpty()) {
      return false;
    }
    long shortestMillis = Collections.min(configured);
    return targetGapMillis <= NEAR_SHORTEST_FACTOR * shortestMillis
        && Collections.max(configured) >= MUCH_LONGER_FACTOR * targetGapMillis;
  }

  /**
   * Sets the gap targets of all routes of the service.
   *
   * @param targetsMillis the targets; without those of routes that have none
   */
  public void setConfigured(Set<Long> targetsMillis) {
    configured = Set.copyOf(targetsMillis);
  }

  /** Returns the shortest recently used target that the engines miss, or 0 if there is none. */
  public long shortestTightMillis(long nowMillis) {
    targets.values().removeIf(each -> nowMillis - each.requestedAtMillis() > RETENTION_MILLIS);
    return targets.entrySet().stream()
        .filter(each -> each.getValue().exceeded())
        .mapToLong(Map.Entry::getKey)
        .min()
        .orElse(0);
  }
}
