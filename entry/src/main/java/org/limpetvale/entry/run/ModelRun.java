package org.limpetvale.entry.run;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.claim.SuspectRegistry;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.upstream.AttemptUpdate;
import org.limpetvale.entry.upstream.RemoteAttempt;
import org.limpetvale.wire.Delivered;
import org.limpetvale.wire.Failed;
import org.limpetvale.wire.Finished;
import org.limpetvale.wire.ModelCall;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.Refused;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.UsageRecord;

/**
 * Runs a model request: makes attempts at sidecars until one completes the answer or no more are
 * allowed.
 *
 * <p>When an attempt fails after part of the text, the next upstream continues after that text, so
 * that the caller receives each token once.
 */
public final class ModelRun implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1000;
  private static final long BUSY_RETRY_AFTER_MILLIS = 2000;

  /** Time after a failure within which a partial answer may be continued, in milliseconds. */
  private static final long RECOVERY_TIMEOUT_MILLIS = 20_000;

  private static final long RECOVERY_RETRY_DELAY_MILLIS = 250;

  private final ModelRequest request;
  private final Dispatcher dispatcher;
  private final SuspectRegistry suspects;
  private final long estimatedTokens;
  private final boolean overBudget;
  private final double weight;
  private final long startedMillis;
  private final Set<String> excluded = new HashSet<>();
  private final StringBuilder relayedText = new StringBuilder();
  private int relayedTokens;
  private int attemptNumber;
  private int offers;
  private int failures;
  private long lastFailureMillis;
  private boolean mayHaveRun;
  private boolean suspectTrial;
  private Optional<Refusal> lastRefusal = Optional.empty();
  private volatile RemoteAttempt attempt;
  private volatile Refusal stopRefusal;

  /** Creates a run that has made no attempt yet. */
  public ModelRun(
      ModelRequest request,
      Dispatcher dispatcher,
      SuspectRegistry suspects,
      long estimatedTokens,
      boolean overBudget) {
    this.request = Objects.requireNonNull(request, "request is null");
    this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
    this.estimatedTokens = estimatedTokens;
    this.overBudget = overBudget;
    this.weight = request.caller().parameters().weight();
    this.startedMillis = dispatcher.timer().nowMillis();
  }

  /**
   * Waits for the next update and starts further attempts as needed.
   *
   * @param timeoutMillis maximum time to wait for an event of an attempt, in milliseconds
   */
  public RunUpdate next(long timeoutMillis) throws InterruptedException {
    while (true) {
      if (stopRefusal != null) {
        return refused(stopRefusal);
      }
      if (attempt == null) {
        Optional<RunUpdate> finalUpdate = openAttempt();
        if (finalUpdate.isPresent()) {
          return finalUpdate.get();
        }
        if (attempt == null) {
          continue;
        }
      }
      switch (attempt.next(timeoutMillis)) {
        case AttemptUpdate.Idle() -> {
          return new RunUpdate.Idle();
        }
        case AttemptUpdate.Stopped(Refusal refusal) -> {
          return refused(refusal);
        }
        case AttemptUpdate.ConnectionLost(String detail) -> {
          Optional<RunUpdate> finalUpdate =
              retryAfterFailure(ResultCode.CONNECTION_LOST, detail, false);
          if (finalUpdate.isPresent()) {
            return finalUpdate.get();
          }
        }
        case AttemptUpdate.SidecarEvent(RunEvent event) -> {
          Optional<RunUpdate> step = handle(event);
          if (step.isPresent()) {
            return step.get();
          }
        }
      }
    }
  }

  /** Stops the request from another thread. */
  public void stop(Refusal refusal) {
    stopRefusal = refusal;
    RemoteAttempt current = attempt;
    if (current != null) {
      current.stop(refusal);
    }
  }

  /** Confirms to the sidecar that the caller has received the complete answer. */
  public void confirmDelivery(String writerId, UsageRecord record) {
    attempt.confirmDelivery(Delivered.newBuilder().setWriterId(writerId).setRecord(record).build());
  }

  /** Returns the VM that the last attempt ran on. */
  public String vm() {
    RemoteAttempt current = attempt;
    return current == null ? "" : current.link().vm().name();
  }

  /** Returns the number of tokens passed to the caller so far. */
  public int relayedTokens() {
    return relayedTokens;
  }

  /** Cancels the current attempt, if any. */
  public void cancel() {
    RemoteAttempt current = attempt;
    if (current != null) {
      current.cancel("caller gone");
    }
  }

  @Override
  public void close() {
    RemoteAttempt current = attempt;
    if (current != null) {
      current.close();
    }
  }

  /** Opens the next attempt; returns the final refusal when no attempt is possible. */
  private Optional<RunUpdate> openAttempt() {
    if (offers >= dispatcher.maxOffers() + failures && !mayWaitForUpstream()) {
      return Optional.of(refused(lastRefusal.orElseGet(ModelRun::noUpstream)));
    }
    Optional<RunUpdate> suspectRefusal = checkSuspects();
    if (suspectRefusal.isPresent()) {
      return suspectRefusal;
    }
    Optional<RemoteAttempt> opened = dispatcher.open(request.model(), buildOffer(), excluded);
    if (opened.isEmpty()) {
      if (mayWaitForUpstream()) {
        excluded.clear();
        dispatcher.timer().sleep(RECOVERY_RETRY_DELAY_MILLIS);
        return Optional.empty();
      }
      return Optional.of(refused(lastRefusal.orElseGet(ModelRun::noUpstream)));
    }
    attempt = opened.get();
    attemptNumber++;
    offers++;
    if (stopRefusal != null) {
      attempt.stop(stopRefusal);
    }
    return Optional.empty();
  }

  /** Returns whether a partial answer may still wait for an upstream to continue it. */
  private boolean mayWaitForUpstream() {
    return relayedTokens > 0
        && dispatcher.timer().nowMillis() - lastFailureMillis < RECOVERY_TIMEOUT_MILLIS;
  }

  private Optional<RunUpdate> checkSuspects() {
    String requestId = request.requestId();
    return switch (suspects.admit(request.digest(), requestId)) {
      case SuspectRegistry.Admission.Allowed() -> {
        suspectTrial = false;
        yield Optional.empty();
      }
      case SuspectRegistry.Admission.Trial() -> {
        suspectTrial = true;
        yield Optional.empty();
      }
      case SuspectRegistry.Admission.TrialInProgress() ->
          Optional.of(
              refused(
                  Refusal.of(
                      ResultCode.UPSTREAM_CRASHED,
                      "an equal request is being tried after a crash",
                      BUSY_RETRY_AFTER_MILLIS)));
      case SuspectRegistry.Admission.Blocked() ->
          Optional.of(
              refused(
                  Refusal.of(
                      ResultCode.REQUEST_CRASHES_UPSTREAMS,
                      "upstreams crashed while they ran it")));
    };
  }

  private Open.Builder buildOffer() {
    long elapsedMillis = dispatcher.timer().nowMillis() - startedMillis;
    long maxWaitMillis = request.level().maxWaitMillis();
    long waitMillis =
        relayedTokens > 0
            ? Math.max(maxWaitMillis, RECOVERY_TIMEOUT_MILLIS)
            : Math.max(1, maxWaitMillis - elapsedMillis);
    return Open.newBuilder()
        .setRequestId(request.requestId())
        .setAttempt(attemptNumber)
        .setWorkspace(request.caller().workspace())
        .setRequestClass(request.className())
        .setTier(request.level().tier())
        .setMaxWaitMillis(waitMillis)
        .setFirstTokenTargetMillis(request.level().firstTokenTargetMillis())
        .setEstimatedTokens(estimatedTokens)
        .setFloorShare(request.level().floorShare())
        .setWeight(weight)
        .setRepeatable(true)
        .setOverBudget(overBudget)
        .setSuspectDigest(suspectTrial ? request.digest() : "")
        .setModelCall(
            ModelCall.newBuilder()
                .setModel(request.model())
                .setBody(ByteString.copyFrom(request.body()))
                .setContinuedText(relayedText.toString())
                .setContinuedTokens(relayedTokens)
                .setPrefixHash(request.prefixHash()));
  }

  private Optional<RunUpdate> handle(RunEvent event) {
    return switch (event.getEventCase()) {
      case TOKEN -> Optional.of(relay(event.getToken().getText()));
      case FINISHED -> finished(event);
      case REFUSED -> attemptRefused(event.getRefused());
      case FAILED -> attemptFailed(event.getFailed());
      case ACCEPTED, DISPATCHED, SERVICE_ANSWER, EVENT_NOT_SET -> Optional.empty();
    };
  }

  private RunUpdate relay(String text) {
    relayedText.append(text);
    relayedTokens++;
    return new RunUpdate.Text(text);
  }

  private Optional<RunUpdate> finished(RunEvent event) {
    Finished finished = event.getFinished();
    if (finished.getEventCount() != event.getSequence()) {
      return retryAfterFailure(
          ResultCode.CONNECTION_LOST, "the stream ended with events missing", false);
    }
    if (suspectTrial) {
      suspects.recordSuccess(request.digest());
    }
    dispatcher.recordSuccess();
    return Optional.of(
        new RunUpdate.Done(
            finished.getPromptTokens(),
            relayedTokens,
            finished.getCachedTokens(),
            finished.getFinishReason()));
  }

  private Optional<RunUpdate> attemptRefused(Refused refused) {
    ResultCode code = ResultCode.ofNumber(refused.getCode()).orElse(ResultCode.INTERNAL);
    if (code == ResultCode.CANCELLED) {
      return Optional.of(refused(Refusal.of(code, refused.getDetail())));
    }
    lastRefusal =
        Optional.of(
            new Refusal(
                code, refused.getDetail(), ExecutionStatus.NOT_RUN, refused.getRetryAfterMillis()));
    excludeAndCloseAttempt();
    return Optional.empty();
  }

  private Optional<RunUpdate> attemptFailed(Failed failed) {
    ResultCode code = ResultCode.ofNumber(failed.getCode()).orElse(ResultCode.INTERNAL);
    if (code == ResultCode.UPSTREAM_ERROR || code == ResultCode.CANCELLED) {
      return Optional.of(refused(Refusal.of(code, failed.getDetail())));
    }
    if (failed.getUpstreamCrashed()) {
      suspects.recordCrash(request.digest());
    }
    return retryAfterFailure(code, failed.getDetail(), failed.getNotRun());
  }

  private Optional<RunUpdate> retryAfterFailure(ResultCode code, String detail, boolean notRun) {
    mayHaveRun |= !notRun;
    failures++;
    lastFailureMillis = dispatcher.timer().nowMillis();
    lastRefusal =
        Optional.of(
            new Refusal(
                code,
                detail,
                mayHaveRun ? ExecutionStatus.MAY_HAVE_RUN : ExecutionStatus.NOT_RUN,
                NO_UPSTREAM_RETRY_AFTER_MILLIS));
    logger.atInfo().log(
        "attempt failed request=%s attempt=%d vm=%s code=%s relayed=%d detail=%s",
        request.requestId(), attemptNumber - 1, vm(), code.label(), relayedTokens, detail);
    excludeAndCloseAttempt();
    if (!dispatcher.tryAcquireRetry()) {
      return Optional.of(
          refused(
              Refusal.of(ResultCode.RETRY_BUDGET_SPENT, detail, NO_UPSTREAM_RETRY_AFTER_MILLIS)));
    }
    return Optional.empty();
  }

  private void excludeAndCloseAttempt() {
    RemoteAttempt current = attempt;
    excluded.add(current.link().vm().name());
    current.close();
    attempt = null;
  }

  /**
   * Returns the final refusal. If the request is known to have run, or may have, this overrides the
   * execution status of the refusal.
   */
  private RunUpdate refused(Refusal refusal) {
    ExecutionStatus status = refusal.executionStatus();
    if (relayedTokens > 0) {
      status = ExecutionStatus.RAN;
    } else if (mayHaveRun && status == ExecutionStatus.NOT_RUN) {
      status = ExecutionStatus.MAY_HAVE_RUN;
    }
    return new RunUpdate.Refused(refusal.withExecutionStatus(status));
  }

  private static Refusal noUpstream() {
    return Refusal.of(
        ResultCode.NO_UPSTREAM, "no upstream is available", NO_UPSTREAM_RETRY_AFTER_MILLIS);
  }
}
