package org.limpetvale.entry.route;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.limpetvale.core.routing.ScoredCandidate;

/** The routing decisions of late: a log line for each, and the newest kept for {@code explain}. */
public final class DecisionLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_DECISIONS = 5000;
  private static final int MAX_LOGGED_CANDIDATES = 8;

  private final Deque<Decision> decisions = new ArrayDeque<>();

  /**
   * One decision.
   *
   * @param requestId the request
   * @param attempt number of the attempt
   * @param wallMillis time of day, in milliseconds since the epoch
   * @param chosen the VM chosen, or the code of the refusal
   * @param candidates the candidates with their scores, best first
   */
  public record Decision(
      String requestId, int attempt, long wallMillis, String chosen, List<String> candidates) {}

  /** Notes a choice among candidates. */
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

  /** Notes the end of a request. */
  public void recordEnd(String requestId, int attempt, String how) {
    add(new Decision(requestId, attempt, System.currentTimeMillis(), how, List.of()));
  }

  /** Returns the decisions on a request, in order. */
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
