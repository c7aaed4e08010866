package org.limpetvale.forward.relay;

import static org.limpetvale.forward.log.EventLog.field;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.PromptShape;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.log.EventLog.Field;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;

/** Logs the decisions about one request, each with the inputs that it was based on. */
final class ExchangeLog {
  private static final int MAX_LOGGED_PARTS = 8;
  private static final int MAX_LOGGED_IDS = 4;
  private static final int MAX_LOGGED_ID_LENGTH = 40;

  private final EventLog log;
  private final RequestHead head;
  private final Supplier<OptionalLong> sinceSignalMillis;
  private String responseEnd = "";
  private ConnectionUse lastUse = ConnectionUse.NONE;
  private int discardedResponses;

  private ExchangeLog(EventLog log, RequestHead head, Supplier<OptionalLong> sinceSignalMillis) {
    this.log = log;
    this.head = head;
    this.sinceSignalMillis = sinceSignalMillis;
  }

  /** Returns a log of the decisions about the request with a header. */
  static ExchangeLog of(Forwarder.Components components, RequestHead head) {
    return new ExchangeLog(
        components.log(),
        head,
        () -> components.plannedStop().sinceSignalMillis(components.timer().nowMillis()));
  }

  /** Logs a decision; during a stop, with the time since the signal. */
  private void log(String event, Field... fields) {
    OptionalLong sinceSignal = sinceSignalMillis.get();
    if (sinceSignal.isEmpty()) {
      log.decision(event, head.requestId(), fields);
      return;
    }
    Field[] withAge = Arrays.copyOf(fields, fields.length + 1);
    withAge[fields.length] = field("sinceSignalMillis", sinceSignal.getAsLong());
    log.decision(event, head.requestId(), withAge);
  }

  /** Logs the placement of the request at an upstream. */
  void placed(
      RequestPlan plan,
      Choice choice,
      UpstreamState.LimitUse limitUse,
      long waitedMillis,
      int attempt) {
    log(
        "place",
        field("route", plan.route().name()),
        field("service", plan.service()),
        field("config", plan.configVersion()),
        field("upstream", choice.upstream().id()),
        field("predictedMillis", choice.predictedMillis()),
        field("costMillis", choice.costMillis()),
        field("requestsThere", choice.load().totalRequests()),
        field("pendingTokens", choice.load().pendingPromptTokens()),
        field("speed", choice.load().relativeSpeed()),
        field("promptTokens", head.shape().promptTokens()),
        field("waitedMillis", waitedMillis),
        field("cachedTokens", choice.load().cachedTokens()),
        field("sharedTokens", head.shape().sharedTokens()),
        field("parts", sharedParts()),
        field("attempt", attempt),
        field("limitPerSecond", limitUse.requestsPerSecond()),
        field("recentSends", limitUse.recentSends()),
        field("passedOver", choice.passedOver().map(ExchangeLog::summarize).orElse("")));
  }

  /** Returns the ids of the prompt's shared parts, in order, shortened if there are many. */
  private String sharedParts() {
    List<PromptShape.Part> parts = head.shape().sharedParts();
    String ids =
        parts.stream()
            .limit(MAX_LOGGED_PARTS)
            .map(part -> shorten(part.id()))
            .collect(Collectors.joining(","));
    return parts.size() > MAX_LOGGED_PARTS ? ids + ",+" + (parts.size() - MAX_LOGGED_PARTS) : ids;
  }

  private static String shorten(String id) {
    return id.length() > MAX_LOGGED_ID_LENGTH ? id.substring(0, MAX_LOGGED_ID_LENGTH) + "~" : id;
  }

  /**
   * Summarizes an upstream that was not chosen: id, cost, cached and pending tokens, and streams
   * with a short gap target.
   */
  private static String summarize(Choice candidate) {
    return candidate.upstream().id()
        + " cost="
        + Math.round(candidate.costMillis())
        + " cached="
        + candidate.load().cachedTokens()
        + " pending="
        + candidate.load().pendingPromptTokens()
        + " tight="
        + candidate.load().tightStreams();
  }

  /** Notes the connection of the last attempt, for the line about the request's end. */
  void sent(ConnectionUse use) {
    lastUse = use;
  }

  /** Logs a response of an upstream that was not taken for that of the request. */
  void responseDiscarded(Upstream upstream, ConnectionUse use, DiscardedResponse discarded) {
    discardedResponses++;
    log(
        "response_discarded",
        field("upstream", upstream.id()),
        field("localPort", use.localPort()),
        field("requestNumber", use.requestNumber()),
        field("status", discarded.status()),
        field("ids", summarize(discarded.ids())),
        field("reason", discarded.reason()));
  }

  private static String summarize(List<String> ids) {
    return ids.stream()
        .limit(MAX_LOGGED_IDS)
        .map(ExchangeLog::shorten)
        .collect(Collectors.joining(","));
  }

  /** Logs an attempt that ended without a completely forwarded response. */
  void attemptFailed(Upstream upstream, Attempt.Failure failure, String detail, boolean begun) {
    log(
        "attempt_failed",
        field("upstream", upstream.id()),
        field("parts", sharedParts()),
        field("failure", failure),
        field("detail", detail),
        field("begun", begun));
  }

  /** Logs whether the retry budget granted another attempt. */
  void retryDecided(String service, FleetRetryBudget.Decision decision) {
    log(
        "repeat",
        field("service", service),
        field("paidBy", decision.source()),
        field("earned", decision.earned()),
        field("fromAllowance", decision.fromAllowance()),
        field("usesAllowance", decision.share().fraction() > 0),
        field("sharers", decision.share().sharers()),
        field("sharersAgeMillis", decision.share().readAgeMillis()));
  }

  /** Notes how the end of the response was recognized, for the line about the request's end. */
  void responseEnded(ResponseEnd.Complete end) {
    responseEnd = end.name().toLowerCase(Locale.ROOT);
  }

  /** Logs the refusal of the request. */
  void refused(Refusal refusal) {
    log(
        "refuse",
        field("code", refusal.code().label()),
        field("detail", refusal.detail()),
        field("ran", refusal.executionStatus().text()),
        field("retryAfterMillis", refusal.retryAfterMillis()));
  }

  /** Logs why a response that had begun is not completed. */
  void brokenOff(ResultCode code, String detail) {
    log("break_off", field("code", code.label()), field("detail", detail));
  }

  /**
   * Logs that the entry ends within the response.
   *
   * @param upstream the id of the upstream at work; empty if there is none
   * @param millis time since the request arrived
   */
  void cutByStop(String upstream, long millis) {
    log("cut_by_stop", field("upstream", upstream), field("millis", millis));
  }

  /** Logs that the request was read but is not served. */
  void dropped(String cause) {
    log("drop", field("cause", cause));
  }

  /**
   * Logs the end of the request.
   *
   * @param plan the plan; null if planning failed
   */
  void ended(
      String outcome,
      int status,
      RequestPlan plan,
      int attempts,
      ResponseTiming pace,
      long millis) {
    log(
        "end",
        field("outcome", outcome),
        field("status", status),
        field("route", plan == null ? "" : plan.route().name()),
        field("attempts", attempts),
        field("responseEnd", responseEnd),
        field("localPort", lastUse.localPort()),
        field("requestNumber", lastUse.requestNumber()),
        field("discardedResponses", discardedResponses),
        field("firstMillis", pace.firstContentMillis()),
        field("longestGapMillis", pace.longestGapMillis()),
        field("millis", millis));
  }
}
