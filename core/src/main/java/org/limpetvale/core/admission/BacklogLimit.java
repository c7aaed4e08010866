package org.limpetvale.core.admission;

import java.util.Objects;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EngineModel;

/**
 * Decides whether a model request is sent to its engine now or waits at the entry.
 *
 * <p>This matters for bursts of long prompts. An engine processes prompts in order of arrival,
 * keeps all of them in memory and cannot return them. A request queued there delays more urgent
 * requests that arrive later and evicts cached prefixes; a request that waits at the entry does
 * neither.
 */
public final class BacklogLimit {
  /** Maximum prefill time queued at an engine when a request with a normal target is added. */
  private static final double NORMAL_BACKLOG_MILLIS = 300;

  /** Maximum prefill time queued at an engine when a request with a short target is added. */
  private static final double URGENT_BACKLOG_MILLIS = 450;

  /** Longest latency target that counts as short. */
  private static final long URGENT_TARGET_MILLIS = 600;

  /**
   * Share of an engine's backlog that one entry may use. Entries learn of each other's requests
   * with a delay, so several of them may see the same free backlog.
   */
  private static final double MAX_OWN_SHARE = 0.5;

  private BacklogLimit() {}

  /**
   * Returns whether a request may be sent to the chosen engine now.
   *
   * @param route route of the request
   * @param promptTokens number of tokens in the prompt
   * @param choice the chosen engine and its load
   * @param model performance model of the service's engines
   */
  public static boolean admits(Route route, int promptTokens, Choice choice, EngineModel model) {
    Objects.requireNonNull(route, "route is null");
    int pending = choice.load().pendingPromptTokens();
    if (pending == 0) {
      return true;
    }
    int uncachedTokens = choice.load().uncachedTokens(promptTokens);
    boolean urgent = route.targetLatencyMillis() <= URGENT_TARGET_MILLIS;
    double maxTokens =
        choice.load().relativeSpeed()
            * model.prefillTokensWithin(urgent ? URGENT_BACKLOG_MILLIS : NORMAL_BACKLOG_MILLIS);
    int ownPending = choice.load().ownPendingPromptTokens();
    return pending + uncachedTokens <= maxTokens
        && (ownPending == 0 || ownPending + uncachedTokens <= MAX_OWN_SHARE * maxTokens);
  }
}
