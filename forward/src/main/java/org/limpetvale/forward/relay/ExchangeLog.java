package org.limpetvale.forward.relay;

import static org.limpetvale.forward.log.EventLog.field;

import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;

/** The log lines of one request: each decision with the inputs that made it. */
final class ExchangeLog {
  private final EventLog log;
  private final RequestHead head;

  ExchangeLog(EventLog log, RequestHead head) {
    this.log = log;
    this.head = head;
  }

  /** An upstream was chosen. */
  void placed(RequestPlan plan, Choice choice, long waitedMillis, int attempt) {
    log.decision(
        "place",
        head.requestId(),
        field("route", plan.route().name()),
        field("service", plan.service()),
        field("config", plan.configVersion()),
        field("upstream", choice.upstream().id()),
        field("predictedMillis", choice.predictedMillis()),
        field("costMillis", choice.costMillis()),
        field("requestsThere", choice.load().totalRequests()),
        field("pendingTokens", choice.load().pendingPromptTokens()),
        field("promptTokens", head.shape().promptTokens()),
        field("waitedMillis", waitedMillis),
        field("cachedTokens", choice.load().cachedTokens()),
        field("sharedTokens", head.shape().sharedTokens()),
        field("prefix", head.shape().affinityKey().orElse("")),
        field("attempt", attempt),
        field("passedOver", choice.passedOver().map(ExchangeLog::summarize).orElse("")));
  }

  /** Returns what speaks for and against an upstream: id, cost, cache, queue, short-gap streams. */
  private static String summarize(Choice passed) {
    return passed.upstream().id()
        + " cost="
        + Math.round(passed.costMillis())
        + " cached="
        + passed.load().cachedTokens()
        + " pending="
        + passed.load().pendingPromptTokens()
        + " tight="
        + passed.load().tightStreams();
  }

  /** An attempt ended without an answer that could be passed on in full. */
  void attemptFailed(Upstream upstream, Attempt.Failure failure, String detail, boolean begun) {
    log.decision(
        "attempt_failed",
        head.requestId(),
        field("upstream", upstream.id()),
        field("failure", failure),
        field("detail", detail),
        field("begun", begun));
  }

  /** Another attempt was granted by the retry budget, or was not. */
  void retryDecided(String service, FleetRetryBudget.Decision decision) {
    log.decision(
        "repeat",
        head.requestId(),
        field("service", service),
        field("paidBy", decision.source()),
        field("earned", decision.earned()),
        field("fromAllowance", decision.fromAllowance()),
        field("usesAllowance", decision.share().fraction() > 0),
        field("sharers", decision.share().sharers()),
        field("sharersAgeMillis", decision.share().readAgeMillis()));
  }

  /** The request is refused. */
  void refused(Refusal refusal) {
    log.decision(
        "refuse",
        head.requestId(),
        field("code", refusal.code().label()),
        field("detail", refusal.detail()),
        field("ran", refusal.executionStatus().text()),
        field("retryAfterMillis", refusal.retryAfterMillis()));
  }

  /**
   * The request has ended.
   *
   * @param plan its plan; null when it had none
   */
  void ended(
      String outcome,
      int status,
      RequestPlan plan,
      int attempts,
      ResponseTiming pace,
      long millis) {
    log.decision(
        "end",
        head.requestId(),
        field("outcome", outcome),
        field("status", status),
        field("route", plan == null ? "" : plan.route().name()),
        field("attempts", attempts),
        field("firstMillis", pace.firstContentMillis()),
        field("longestGapMillis", pace.longestGapMillis()),
        field("millis", millis));
  }
}
