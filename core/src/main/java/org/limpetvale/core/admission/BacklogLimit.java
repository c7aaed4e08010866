package org.limpetvale.core.admission;

import java.util.Objects;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EngineModel;

/**
 * Decides whether a model request goes to its engine now or waits at the entry.
 *
 * <p>The load that it answers: bursts of long prompts. An engine reads what it was given in the
 * order that it came, keeps all of it in memory, and cannot give it back; so a request that waits
 * there delays more urgent ones that come later and pushes cached prefixes out. What waits at the
 * entry does neither.
 */
public final class BacklogLimit {
  /** Reading time that an engine is given ahead by requests with a usual latency target. */
  private static final double USUAL_MILLIS = 300;

  /** The same for requests with a short latency target. */
  private static final double URGENT_MILLIS = 450;

  private static final long URGENT_TARGET_MILLIS = 600;

  /**
   * Share of the tokens that one entry may have there; entries hear of each other's requests late,
   * and all see the same room.
   */
  private static final double OWN_SHARE = 0.5;

  private BacklogLimit() {}

  /**
   * Tells whether a request may go to the engine that was chosen for it.
   *
   * @param route the request's route
   * @param promptTokens tokens of its prompt
   * @param choice the engine, with what is known of it
   * @param model what is known of all engines of the service
   */
  public static boolean admits(Route route, int promptTokens, Choice choice, EngineModel model) {
    Objects.requireNonNull(route, "route is null");
    int pending = choice.load().pendingPromptTokens();
    if (pending == 0) {
      return true;
    }
    int fresh = choice.load().uncachedTokens(promptTokens);
    boolean urgent = route.targetLatencyMillis() <= URGENT_TARGET_MILLIS;
    double most = model.prefillTokensWithin(urgent ? URGENT_MILLIS : USUAL_MILLIS);
    int own = choice.load().ownPendingPromptTokens();
    return pending + fresh <= most && (own == 0 || own + fresh <= OWN_SHARE * most);
  }
}
