package org.limpetvale.entry.route;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.limpetvale.core.routing.ScoredCandidate;

/** Logs routing decisions and keeps the most recent ones for {@link #explain}. */
public final class DecisionLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_DECISIONS = 5000;
  private static final int MAX_LOGGED_CANDIDATES = 8;

  private final Deque<Decision> decisions = new ArrayDeque<>();

  /**
   * A routing decision, or the outcome of a request.
   *
   * @param requestId the request
   * @param attempt number of the attempt
   * @param wallMillis time of day, in milliseconds since the epoch
   * @param chosen the chosen VM, or outcome the request ended
   * @param candidates the candidates with their scores, best first
   */
  public record Decision(
      String requestId, int attempt, long wallMillis, String chosen, List<String> candidates) {}

  /** Logs and records the choice of the first candidate. */
  public void recordChoice(
      String requestId,
      int attempt,
      String workspace,
      String requestClass,
      List<ScoredCandidate> ordered) {
    List<String> lines =
        ordered.stream().limit(MAX_LOGGED_CANDIDATES).map(DecisionLog::format).toList();
    String chosen = ordered.getFirst().candidate().vm();
    logger.atInfo().log(
        "route request=%s attempt=%d workspace=%s class=%s chosen=%s weighed=%d candidates=%s",
        requestId, attempt, workspace, requestClass, chosen, ordered.size(), lines);
    add(new Decision(requestId, attempt, System.currentTimeMillis(), chosen, lines));
  }

  /** Records the outcome of a request. */
  public void recordEnd(String requestId, int attempt, String outcome) {
    add(new Decision(requestId, attempt, System.currentTimeMillis(), outcome, List.of()));
  }

  /** Returns the recent decisions on a request, oldest first. */
  public synchronized List<Decision> explain(String requestId) {
    return decisions.stream().filter(each -> each.requestId().equals(requestId)).toList();
  }

  private synchronized void add(Decision decision) {
    decisions.addLast(decision);
    if (decisions.size() > MAX_DECISIONS) {
      decisions.removeFirst();
    }
  }

  private static String format(ScoredCandidate scored) {
    return String.format(
        Locale.ROOT,
        "%s=%.1f(%s)",
        scored.candidate().vm(),
        scored.scoreMillis(),
        scored.scoreBreakdown());
  }
}
