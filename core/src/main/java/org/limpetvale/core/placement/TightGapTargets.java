package org.limpetvale.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The gap targets of a service's streams that are too short for engines that read long prompts.
 *
 * <p>The load that it answers: streams with several gap targets beside prompts of all lengths.
 * Which of the targets break depends on the engines. Of those that do, only the shortest are kept
 * apart: the prompts of streams with longer targets would break the shorter ones beside them. A
 * target near the limit must not change sides with each sample, as its streams would move between
 * engines.
 *
 * <p>Not safe for use by several threads.
 */
public final class TightGapTargets {
  /**
   * Share of a target that the pauses must pass before it counts as too short: they were learned
   * beside fewer streams than a burst brings, and each stream makes a step longer.
   */
  private static final double ENTER_SHARE = 0.8;

  /** Share of a target that the pauses must fall below before it counts as long enough again. */
  private static final double LEAVE_SHARE = 0.65;

  /** Targets up to this many times the shortest that breaks are kept apart with it. */
  private static final double NEAR_SHORTEST = 1.25;

  /** Time after which a target that no request had is forgotten. */
  private static final long KEPT_MILLIS = 10_000;

  private final Map<Long, Seen> targets = new HashMap<>();

  private record Seen(boolean breaks, long atMillis) {}

  private TightGapTargets() {}

  /** Returns gaps of which none has been seen. */
  public static TightGapTargets empty() {
    return new TightGapTargets();
  }

  /**
   * Tells whether a gap target is too short, and notes that a request has it.
   *
   * @param targetGapMillis the target; 0 for none
   * @param model what is known of the engines
   * @param nowMillis monotonic time in milliseconds
   */
  public boolean isTight(long targetGapMillis, EngineModel model, long nowMillis) {
    if (targetGapMillis <= 0) {
      return false;
    }
    Seen before = targets.get(targetGapMillis);
    boolean did = before != null && before.breaks();
    boolean breaks = model.exceedsGapTarget(targetGapMillis, did ? LEAVE_SHARE : ENTER_SHARE);
    targets.put(targetGapMillis, new Seen(breaks, nowMillis));
    return breaks && targetGapMillis <= NEAR_SHORTEST * shortestTightMillis(nowMillis);
  }

  /** Returns the shortest target lately seen that breaks; 0 if there is none. */
  public long shortestTightMillis(long nowMillis) {
    targets.values().removeIf(each -> nowMillis - each.atMillis() > KEPT_MILLIS);
    return targets.entrySet().stream()
        .filter(each -> each.getValue().breaks())
        .mapToLong(Map.Entry::getKey)
        .min()
        .orElse(0);
  }
}
