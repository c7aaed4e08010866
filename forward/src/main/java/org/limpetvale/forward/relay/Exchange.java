package org.limpetvale.forward.relay;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.limpetvale.core.admission.BacklogLimit;
import org.limpetvale.core.admission.DeferralLimit;
import org.limpetvale.core.admission.DispatchOrder;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.IncomingRequest;
import org.limpetvale.forward.accept.ProblemResponses;
import org.limpetvale.forward.accept.RequestHandler;
import org.limpetvale.forward.accept.ResponseWriter;
import org.limpetvale.forward.admit.CrashGuard;
import org.limpetvale.forward.admit.WaitingRequests;
import org.limpetvale.forward.metrics.ForwardMetrics.Counter;
import org.limpetvale.forward.place.Placement;
import org.limpetvale.forward.place.PromptMemory;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.HeaderCodec;
import org.limpetvale.forward.spi.RequestHead;

/**
 * Serves one request from its arrival to the end of its response: plans it, places it, sends it,
 * relays the response, and retries where that is allowed.
 */
final class Exchange
    implements RequestHandler.ActiveRequest, Attempt.Listener, WaitingRequests.Waiter {
  /** Remaining time below which no further attempt is made. */
  private static final long MIN_RETRY_MILLIS = 40;

  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long RETRY_AFTER_JITTER_MILLIS = 500;
  private static final int MAX_CONNECT_FAILURES = 3;

  private final Forwarder.Components components;
  private final IncomingRequest request;
  private final ResponseWriter responseWriter;
  private final Consumer<Exchange> onEnd;
  private final RequestHead head;
  private final Set<String> triedUpstreamIds = new HashSet<>();
  private RequestPlan plan;
  private long deadlineMillis;
  private TimerService.Subscription timeout = () -> {};
  private Attempt attempt;
  private int sentAttempts;
  private int connectFailures;

  /** Whether the request waits because no upstream that could take it accepts requests now. */
  private boolean isDeferred;

  /** Whether an earlier attempt may have been executed. */
  private boolean mayHaveRun;

  private boolean usageCounted;
  private final ResponseTiming timing;
  private final ExchangeLog log;
  private final RetryPermit retryPermit;
  private final CallerResponse callerResponse;
  private boolean ended;
  private Optional<String> resumeAfterEventId = Optional.empty();

  Exchange(
      Forwarder.Components components,
      IncomingRequest request,
      ResponseWriter responseWriter,
      Consumer<Exchange> onEnd) {
    this.components = components;
    this.request = request;
    this.responseWriter = responseWriter;
    this.onEnd = onEnd;
    this.head = components.headerCodec().decodeRequest(request.head().headers());
    this.callerResponse = new CallerResponse(responseWriter, request);
    this.timing = new ResponseTiming(request.arrivedMillis());
    this.log = ExchangeLog.of(components, head);
    this.retryPermit = new RetryPermit(components.retryBudgets(), components.metrics(), log);
  }

  void start() {
    components.metrics().count(Counter.REQUESTS);
    if (request.mayOnlyBeRefused()) {
      giveUp(ResultCode.DRAINING, "the close of the connection was announced before this request");
      return;
    }
    String host = request.head().headers().get(HttpHeaderNames.HOST, "");
    switch (components.planner().plan(head, host, request.path())) {
      case Result.Err<RequestPlan>(Refusal refusal) -> refuse(refusal);
      case Result.Ok<RequestPlan>(RequestPlan found) -> {
        plan = found;
        if (isStoppedAsCrashing()) {
          return;
        }
        long timeoutMillis = Math.min(plan.route().timeoutMillis(), requestedTimeoutMillis());
        deadlineMillis = request.arrivedMillis() + timeoutMillis;
        if (isTooLateInStop()) {
          return;
        }
        timeout = components.timer().after(Math.max(0, remainingMillis()), this::onTimeout);
        components.retryBudgets().requestSent(plan.service());
        placeOrWait();
      }
    }
  }

  /**
   * Ends the request if upstreams crash on it; returns whether it does. This may have become known
   * since the request arrived.
   */
  private boolean isStoppedAsCrashing() {
    Optional<Refusal> refusal = crashRefusal();
    refusal.ifPresent(
        each -> {
          components.metrics().count(Counter.CRASHING_REQUESTS_STOPPED);
          if (mayHaveRun || callerResponse.isStarted()) {
            giveUp(each.code(), each.detail(), each.retryAfterMillis());
          } else {
            refuse(each);
          }
        });
    return refusal.isPresent();
  }

  private Optional<Refusal> crashRefusal() {
    return components.crashGuard().refusal(request, plan, head.shape());
  }

  /** Refuses a new request if this entry may end before it; returns whether it did. */
  private boolean isTooLateInStop() {
    boolean admitted =
        components.plannedStop().admits(components.timer().nowMillis(), deadlineMillis);
    if (!admitted) {
      refuseForStop();
    }
    return !admitted;
  }

  /** Ends the request if this entry sends nothing any more; returns whether it does. */
  private boolean isRefusedByStop() {
    boolean stopped = components.plannedStop().isSendingStopped();
    if (stopped) {
      refuseForStop();
    }
    return stopped;
  }

  private void refuseForStop() {
    giveUp(ResultCode.DRAINING, "this entry stops and has no time left for an answer");
  }

  /** Ends the request if it is not at an upstream, as this entry sends nothing any more. */
  void onSendingStopped() {
    if (!ended && plan != null && attempt == null) {
      refuseForStop();
    }
  }

  /**
   * Answers the request, unless its answer has begun, as this entry is about to end. The answer of
   * one that is at an upstream states that it may have run.
   */
  void onEntryEnding() {
    if (ended || callerResponse.isStarted()) {
      return;
    }
    mayHaveRun |= attempt != null;
    cancelAttempt();
    giveUp(ResultCode.DRAINING, "this entry ended before the answer");
  }

  /** Logs that the end of this entry cuts the response. */
  void logCutByStop() {
    log.cutByStop(attempt == null ? "" : attempt.upstream().id(), waitedMillis());
  }

  private long requestedTimeoutMillis() {
    OptionalLong requested = head.deadlineMillis();
    return requested.orElse(plan.route().timeoutMillis());
  }

  private long remainingMillis() {
    return deadlineMillis - components.timer().nowMillis();
  }

  private Route route() {
    return plan.route();
  }

  @Override
  public String service() {
    return plan.service();
  }

  @Override
  public String routeName() {
    return route().name();
  }

  @Override
  public boolean isDeferred() {
    return isDeferred;
  }

  /**
   * {@inheritDoc}
   *
   * <p>A deferred request keeps its place when its latency target has passed: it was told to wait
   * because its turn was foreseen, and later arrivals must not take that.
   */
  @Override
  public DispatchOrder.SortKey place() {
    return sortKey(
        isDeferred ? deadlineMillis - request.arrivedMillis() : route().targetLatencyMillis());
  }

  private DispatchOrder.SortKey sortKey(long targetLatencyMillis) {
    return new DispatchOrder.SortKey(
        plan.rank(), request.arrivedMillis(), targetLatencyMillis, deadlineMillis);
  }

  @Override
  public boolean tryAgain() {
    if (ended || isStoppedAsCrashing() || isRefusedByStop()) {
      return true;
    }
    return switch (choose()) {
      case Placement.Chosen(Choice choice) -> dispatchIfAdmitted(choice);
      case Placement.Deferred(List<Upstream> upstreams) -> deferOrRefuse(upstreams);
      case Placement.Unavailable() -> {
        giveUp(ResultCode.NO_UPSTREAM, "no upstream of " + plan.service() + " can take it");
        yield true;
      }
    };
  }

  /** Dispatches the request unless it has to wait; returns whether it no longer waits. */
  private boolean dispatchIfAdmitted(Choice choice) {
    isDeferred = false;
    if (head.shape().isModelRequest()
        && !BacklogLimit.admits(route(), head.shape().promptTokens(), choice, engineModel())) {
      return false;
    }
    dispatch(choice);
    return true;
  }

  /**
   * Waits if an upstream is expected to accept the request while there is time left for the answer,
   * and otherwise refuses it; returns whether it no longer waits.
   */
  private boolean deferOrRefuse(List<Upstream> upstreams) {
    if (isSendForeseen(upstreams)) {
      isDeferred = true;
      return false;
    }
    int waiting = components.waitingRequests().deferred(plan.service());
    long returnAfterMillis =
        components.placer().upstreamLimits().returnAfterMillis(plan.service(), upstreams, waiting);
    giveUp(
        ResultCode.UPSTREAMS_NOT_ACCEPTING,
        upstreams.size() + " upstreams accept none now, " + waiting + " requests wait for them",
        returnAfterMillis);
    return true;
  }

  private boolean isSendForeseen(List<Upstream> upstreams) {
    int ahead = components.waitingRequests().countAhead(this);
    DispatchOrder.SortKey key = sortKey(route().targetLatencyMillis());
    long untilMillis = DeferralLimit.latestSendMillis(key, isDeferred ? 0 : ahead);
    if (untilMillis <= components.timer().nowMillis()) {
      return false;
    }
    return components.placer().upstreamLimits().allowedUntil(upstreams, untilMillis) > ahead;
  }

  /**
   * Chooses an upstream. Limited ones are left to the deferred requests that come first in the
   * dispatch order.
   */
  private Placement choose() {
    return components
        .placer()
        .place(
            plan,
            head.shape(),
            waitedMillis(),
            triedUpstreamIds,
            () -> components.waitingRequests().countAhead(this) == 0);
  }

  private EngineModel engineModel() {
    return components.placer().engineProfiles().model(plan.service());
  }

  private long waitedMillis() {
    return components.timer().nowMillis() - request.arrivedMillis();
  }

  /** Places the request, or queues it until an upstream has capacity. */
  private void placeOrWait() {
    if (!tryAgain()) {
      components.waitingRequests().add(this);
    }
  }

  private void dispatch(Choice choice) {
    Upstream upstream = choice.upstream();
    UpstreamState state = components.placer().upstreamStates().state(upstream);
    UpstreamState.LimitUse limitUse = state.limitUse(components.timer().nowMillis());
    log.placed(plan, choice, limitUse, waitedMillis(), sentAttempts + 1);
    triedUpstreamIds.add(upstream.id());
    long placedMillis = components.timer().nowMillis();
    state.recordSend(placedMillis);
    int uncachedTokens = choice.load().uncachedTokens(head.shape().promptTokens());
    state.reserve(uncachedTokens);
    components
        .upstreamPool()
        .acquire(
            upstream,
            request.head().method(),
            head.requestId(),
            route().isRetryable(),
            lease -> {
              state.release(uncachedTokens);
              onAcquired(choice, state, placedMillis, lease);
            });
  }

  private void onAcquired(
      Choice choice, UpstreamState state, long placedMillis, UpstreamPool.AcquireResult lease) {
    Upstream upstream = choice.upstream();
    switch (lease) {
      case UpstreamPool.AcquireResult.Unreachable unreachable -> {
        connectFailed(upstream, state, unreachable);
        if (!ended) {
          onConnectFailed();
        }
      }
      case UpstreamPool.AcquireResult.Connected(UpstreamConnection connection) -> {
        state.connected();
        if (ended || !isStillEligible(upstream, state, placedMillis)) {
          connection.close();
          if (!ended) {
            placeOrWait();
          }
          return;
        }
        send(choice, state, connection);
      }
    }
  }

  private void connectFailed(
      Upstream upstream, UpstreamState state, UpstreamPool.AcquireResult.Unreachable result) {
    state.connectFailed(components.timer().nowMillis());
    components.crashGuard().connectFailed(upstream, result.refused());
    components.metrics().count(Counter.CONNECTS_FAILED);
    components
        .log()
        .stateChange(
            "upstream_unreachable",
            field("upstream", upstream.id()),
            field("cause", result.detail()));
  }

  private void onConnectFailed() {
    connectFailures++;
    if (connectFailures >= MAX_CONNECT_FAILURES || remainingMillis() < MIN_RETRY_MILLIS) {
      giveUp(ResultCode.NO_UPSTREAM, "no connection to any upstream tried");
    } else {
      placeOrWait();
    }
  }

  private boolean isStillEligible(Upstream upstream, UpstreamState state, long placedMillis) {
    if (state.isLeaving() || state.isAskedToPause(components.timer().nowMillis())) {
      return false;
    }
    if (components.placer().upstreamLimits().hasTurnLapsed(upstream, placedMillis)) {
      return false;
    }
    return components.fleet().get().accepts(upstream);
  }

  /** Returns whether the process of an upstream is still known and not draining. */
  private boolean isRunning(Upstream upstream) {
    return components
        .fleet()
        .get()
        .find(upstream.id())
        .filter(now -> !now.draining() && now.isSameProcess(upstream))
        .isPresent();
  }

  private void send(Choice choice, UpstreamState state, UpstreamConnection connection) {
    Upstream upstream = choice.upstream();
    long remainingMillis = remainingMillis();
    if (remainingMillis <= 0) {
      connection.close();
      return;
    }
    if (isStoppedAsCrashing() || isRefusedByStop()) {
      connection.close();
      return;
    }
    if (!request.body().canReplay()) {
      connection.close();
      giveUp(ResultCode.UPSTREAM_LOST, "the beginning of the body is not kept");
      return;
    }
    if (retryPermit.isHeld() && !retryPermit.use(plan.service())) {
      connection.close();
      giveUp(ResultCode.RETRY_BUDGET_SPENT, "no retry is left as this one is to be sent");
      return;
    }
    sentAttempts++;
    components.metrics().count(Counter.ATTEMPTS);
    Optional<PromptMemory.ExpectedCopy> expectedCopy =
        components.placer().requestSent(choice, head.shape());
    attempt =
        new Attempt(
            this,
            plan,
            head,
            choice,
            state,
            connection,
            components.placer().engineProfiles(),
            components.placer().upstreamNotices(),
            millis -> firstEventWithoutQueue(upstream, expectedCopy, millis),
            components.timer());
    log.sent(connection.nextUse());
    attempt.send(
        UpstreamRequest.of(components.headerCodec(), request, grant(upstream, remainingMillis)),
        request.body(),
        ResponseExpectation.of(head.requestId(), route(), resumeAfterEventId, request.head()));
  }

  private void firstEventWithoutQueue(
      Upstream upstream, Optional<PromptMemory.ExpectedCopy> copy, long millis) {
    components
        .placer()
        .promptMemory()
        .ifPresent(memory -> copy.ifPresent(each -> memory.firstEvent(upstream, each, millis)));
  }

  private HeaderCodec.RequestMetadata grant(Upstream upstream, long remainingMillis) {
    Optional<Integer> rank =
        plan.targetsModelEngine() ? Optional.of(plan.rank()) : Optional.empty();
    return new HeaderCodec.RequestMetadata(
        upstream, plan.workspace(), remainingMillis, rank, resumeAfterEventId);
  }

  @Override
  public void onUpstreamCapacity() {
    components.waitingRequests().wake();
  }

  @Override
  public void onExecutionStarted() {
    if (!usageCounted) {
      usageCounted = true;
      plan.workspace()
          .ifPresent(workspace -> components.usageCounts().requestStarted(workspace.name()));
    }
  }

  @Override
  public void onResponseDiscarded(DiscardedResponse discarded) {
    components.metrics().count(Counter.RESPONSES_DISCARDED);
    log.responseDiscarded(attempt.upstream(), attempt.connectionUse(), discarded);
  }

  @Override
  public boolean shouldForward(HttpResponse response, boolean signed, boolean notRun) {
    StatusCode status = StatusCode.of(response);
    if (status.isSuccess() && !signed) {
      return false;
    }
    if (callerResponse.isStarted()) {
      return !notRun && callerResponse.canContinueWith(response);
    }
    if (notRun) {
      return !status.equals(StatusCode.MISDIRECTED) && !mayHaveRun && !acquireRetry(false);
    }
    return !status.isServerError() || !acquireRetry(true);
  }

  @Override
  public void forwardHead(HttpResponse response, boolean notRun, boolean mayResume) {
    if (callerResponse.isStarted()) {
      return;
    }
    components.metrics().recordFirstByte(components.timer().nowMillis() - request.arrivedMillis());
    if (notRun) {
      callerResponse.startRefusal(response, retryAfterMillis());
    } else {
      callerResponse.start(response, mayResume);
    }
  }

  @Override
  public void forwardContent(byte[] bytes) {
    timing.recordContent(components.timer().nowMillis());
    responseWriter.writeContent(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    if (!responseWriter.isWritable() && attempt != null) {
      attempt.setAutoRead(false);
    }
  }

  @Override
  public void flush() {
    responseWriter.flush();
  }

  @Override
  public void onCallerWritable() {
    if (attempt != null) {
      attempt.setAutoRead(true);
    }
  }

  @Override
  public void onCompleted(StatusCode status, ResponseEnd.Complete end) {
    if (!callerResponse.canEndWith(end)) {
      giveUp(ResultCode.UPSTREAM_LOST, "the framing of the response states more than its end");
      return;
    }
    log.responseEnded(end);
    if (end == ResponseEnd.Complete.CLOSED_BY_UPSTREAM) {
      components.metrics().count(Counter.ANSWERS_ENDED_BY_CLOSE);
    }
    boolean served = status.isSuccess();
    components.metrics().count(served ? Counter.SERVED : Counter.FAILED);
    recordAnswer(served, status, end);
    finish(served ? "served" : "passed_on", status.value());
    callerResponse.finish(end);
  }

  /**
   * Records what a whole answer says of the request. An answer that ended with its connection says
   * nothing yet, as a crash may have closed it.
   */
  private void recordAnswer(boolean served, StatusCode status, ResponseEnd.Complete end) {
    if (end == ResponseEnd.Complete.CLOSED_BY_UPSTREAM) {
      recordLoss(attempt, true);
    } else if (served) {
      components.crashGuard().requestServed(request, plan, head.shape());
    } else if (status.equals(StatusCode.INTERNAL_ERROR)) {
      components.crashGuard().answerReceived(request, plan);
    }
  }

  private void recordLoss(Attempt lost, boolean answered) {
    Upstream upstream = lost.upstream();
    boolean left =
        !isRunning(upstream) || components.placer().upstreamStates().state(upstream).isLeaving();
    components
        .crashGuard()
        .connectionLost(
            request,
            plan,
            head,
            new CrashGuard.LostRun(upstream, lost.startedMillis(), answered, left));
  }

  /** Connects to the upstream of a lost attempt, which tells soon whether its process crashed. */
  private void probe(Upstream upstream) {
    if (!components.crashGuard().awaitsConfirmation(upstream)) {
      return;
    }
    components
        .upstreamPool()
        .probe(
            upstream,
            failure ->
                connectFailed(
                    upstream, components.placer().upstreamStates().state(upstream), failure));
  }

  @Override
  public void onFailed(Attempt.Failure failure, String detail) {
    Attempt failedAttempt = attempt;
    attempt = null;
    boolean ran = failure != Attempt.Failure.NOT_RUN;
    if (failure == Attempt.Failure.SPOILED) {
      components.metrics().count(Counter.ANSWERS_SPOILED);
    }
    log.attemptFailed(failedAttempt.upstream(), failure, detail, callerResponse.isStarted());
    switch (failure) {
      case LOST -> {
        recordLoss(failedAttempt, false);
        probe(failedAttempt.upstream());
      }
      case FAILED -> components.crashGuard().answerReceived(request, plan);
      case NOT_RUN, SPOILED -> {}
    }
    resumeAfterEventId = failedAttempt.lastEventId().or(() -> resumeAfterEventId);
    if (!failedAttempt.canBeResumed()) {
      callerResponse.preventResumption();
    }
    if (acquireRetry(ran)) {
      components.metrics().count(callerResponse.isStarted() ? Counter.RESUMES : Counter.RETRIES);
      mayHaveRun |= ran;
      placeOrWait();
      return;
    }
    mayHaveRun |= ran;
    giveUp(resultCode(failure), detail);
  }

  private static ResultCode resultCode(Attempt.Failure failure) {
    return switch (failure) {
      case NOT_RUN -> ResultCode.UPSTREAM_FULL;
      case LOST -> ResultCode.UPSTREAM_LOST;
      case SPOILED -> ResultCode.ANSWER_SPOILED;
      case FAILED -> ResultCode.UPSTREAM_ERROR;
    };
  }

  /**
   * Acquires a permit for another attempt, unless one is already held, so that a failed attempt
   * acquires at most one.
   */
  private boolean acquireRetry(boolean ran) {
    return retryPermit.isHeld() || canRetry(ran) && retryPermit.tryAcquire(plan.service());
  }

  private boolean canRetry(boolean ran) {
    if (sentAttempts >= route().maxAttempts() || remainingMillis() < MIN_RETRY_MILLIS) {
      return false;
    }
    if (!request.body().canReplay()) {
      return false;
    }
    if (!callerResponse.mayUseAnotherUpstream()) {
      return false;
    }
    if (ran && !route().isRetryable() || components.plannedStop().isSendingStopped()) {
      return false;
    }
    if (crashRefusal().isPresent()) {
      return false;
    }
    return switch (choose()) {
      case Placement.Chosen ignored -> true;
      case Placement.Deferred(List<Upstream> upstreams) -> isSendForeseen(upstreams);
      case Placement.Unavailable() -> false;
    };
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    mayHaveRun |= attempt != null;
    cancelAttempt();
    ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.NO_UPSTREAM;
    giveUp(code, "the time allowed has passed");
  }

  @Override
  public void onCallerDisconnected() {
    if (ended) {
      return;
    }
    cancelAttempt();
    components.metrics().count(Counter.CALLERS_GONE);
    finish("caller_gone", 0);
  }

  /**
   * {@inheritDoc}
   *
   * <p>An upstream that was sent the start of the request may already be executing it, so the
   * refusal must not state that it was not executed.
   */
  @Override
  public void onBodyFailed(Refusal refusal) {
    if (ended) {
      return;
    }
    boolean mayHaveStarted = attempt != null || mayHaveRun;
    cancelAttempt();
    boolean mayRetry = refusal.code().invitesRetry();
    if (callerResponse.isStarted() || mayHaveStarted && mayRetry) {
      breakOff(refusal.code(), refusal.detail());
      return;
    }
    refuse(
        mayHaveStarted
            ? new Refusal(refusal.code(), refusal.detail(), ExecutionStatus.MAY_HAVE_RUN, 0)
            : refusal);
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  private void giveUp(ResultCode code, String detail) {
    giveUp(code, detail, retryAfterMillis());
  }

  private void giveUp(ResultCode code, String detail, long retryAfterMillis) {
    if (callerResponse.isStarted()) {
      breakOff(code, detail);
      return;
    }
    if (!mayHaveRun) {
      refuse(new Refusal(code, detail, ExecutionStatus.NOT_RUN, retryAfterMillis));
      return;
    }
    boolean statesNotRun = code.executionStatus() == ExecutionStatus.NOT_RUN;
    ResultCode reportedCode = statesNotRun ? ResultCode.UPSTREAM_LOST : code;
    refuse(new Refusal(reportedCode, detail, ExecutionStatus.MAY_HAVE_RUN, 0));
  }

  /** Ends a response that cannot be completed. */
  private void breakOff(ResultCode code, String detail) {
    components.metrics().count(Counter.FAILED);
    log.brokenOff(code, detail);
    finish("broken_off", 0);
    responseWriter.abort();
  }

  private static long retryAfterMillis() {
    return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_AFTER_JITTER_MILLIS);
  }

  private void refuse(Refusal refusal) {
    components.metrics().count(Counter.REFUSED);
    log.refused(refusal);
    finish("refused", refusal.code().httpStatus());
    responseWriter.writeFull(ProblemResponses.of(refusal));
  }

  private void finish(String outcome, int status) {
    ended = true;
    attempt = null;
    if (plan != null) {
      retryPermit.release(plan.service());
    }
    if (sentAttempts == 0) {
      components.crashGuard().requestEndedUnsent(request);
    }
    timeout.cancel();
    components.waitingRequests().remove(this);
    long durationMillis = components.timer().nowMillis() - request.arrivedMillis();
    components.metrics().recordWholeAnswer(durationMillis);
    log.ended(outcome, status, plan, sentAttempts, timing, durationMillis);
    onEnd.accept(this);
  }
}
