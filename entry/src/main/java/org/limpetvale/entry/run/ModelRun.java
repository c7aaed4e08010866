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
import org.limpetvale.entry.upstream.Next;
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
 * A running model request: attempts at sidecars until one answers whole or none is left.
 *
 * <p>An attempt that breaks after some text is continued at another upstream after that text; the
 * caller sees each token once.
 */
public final class ModelRun implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1000;
  private static final long BUSY_RETRY_AFTER_MILLIS = 2000;

  /** Time that an answer that has begun may stand still after a failure, in milliseconds. */
  private static final long RECOVERY_LIMIT_MILLIS = 20_000;

  private static final long RECOVERY_PAUSE_MILLIS = 250;

  private final ModelRequest request;
  private final Dispatcher dispatcher;
  private final SuspectRegistry suspects;
  private final long estimatedTokens;
  private final boolean overBudget;
  private final double weight;
  private final long startedMillis;
  private final Set<String> excluded = new HashSet<>();
  private final StringBuilder relayed = new StringBuilder();
  private int relayedTokens;
  private int attemptNumber;
  private int offers;
  private int failures;
  private long lastFailureMillis;
  private boolean mayHaveRun;
  private boolean trial;
  private Optional<Refusal> lastRefusal = Optional.empty();
  private volatile RemoteAttempt attempt;
  private volatile Refusal stopped;

  /** Creates a run that has not been offered yet. */
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

  // -- for the answer

  /**
   * Waits for what comes next.
   *
   * @param timeoutMillis longest wait, in milliseconds
   */
  public Step next(long timeoutMillis) throws InterruptedException {
    while (true) {
      if (stopped != null) {
        return refused(stopped);
      }
      if (attempt == null) {
        Optional<Step> ended = openAttempt();
        if (ended.isPresent()) {
          return ended.get();
        }
        if (attempt == null) {
          continue;
        }
      }
      switch (attempt.next(timeoutMillis)) {
        case Next.Idle() -> {
          return new Step.Idle();
        }
        case Next.Stopped(Refusal refusal) -> {
          return refused(refusal);
        }
        case Next.Lost(String detail) -> {
          Optional<Step> ended = retryAfterFailure(ResultCode.CONNECTION_LOST, detail, false);
          if (ended.isPresent()) {
            return ended.get();
          }
        }
        case Next.Event(RunEvent event) -> {
          Optional<Step> step = take(event);
          if (step.isPresent()) {
            return step.get();
          }
        }
      }
    }
  }

  /** Stops the request from another thread. */
  public void stop(Refusal refusal) {
    stopped = refusal;
    RemoteAttempt current = attempt;
    if (current != null) {
      current.stop(refusal);
    }
  }

  /** Tells the sidecar that the caller has the whole answer. */
  public void delivered(String writerId, UsageRecord record) {
    attempt.delivered(Delivered.newBuilder().setWriterId(writerId).setRecord(record).build());
  }

  /** Returns the VM that the last attempt ran on. */
  public String vm() {
    RemoteAttempt current = attempt;
    return current == null ? "" : current.link().vm().name();
  }

  /** Returns the tokens passed to the caller so far. */
  public int relayedTokens() {
    return relayedTokens;
  }

  /** Cancels what still runs. */
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

  // -- attempts

  /** Opens the next attempt; returns the end of the request when there can be none. */
  private Optional<Step> openAttempt() {
    if (offers >= dispatcher.mostOffers() + failures && !mayWaitForUpstream()) {
      return Optional.of(refused(lastRefusal.orElseGet(ModelRun::noUpstream)));
    }
    Optional<Step> judged = judge();
    if (judged.isPresent()) {
      return judged;
    }
    Optional<RemoteAttempt> opened = dispatcher.open(request.model(), offer(), excluded);
    if (opened.isEmpty()) {
      if (mayWaitForUpstream()) {
        excluded.clear();
        dispatcher.timer().sleep(RECOVERY_PAUSE_MILLIS);
        return Optional.empty();
      }
      return Optional.of(refused(lastRefusal.orElseGet(ModelRun::noUpstream)));
    }
    attempt = opened.get();
    attemptNumber++;
    offers++;
    if (stopped != null) {
      attempt.stop(stopped);
    }
    return Optional.empty();
  }

  /** An answer that has begun waits a while for an upstream that can go on with it. */
  private boolean mayWaitForUpstream() {
    return relayedTokens > 0
        && dispatcher.timer().nowMillis() - lastFailureMillis < RECOVERY_LIMIT_MILLIS;
  }

  private Optional<Step> judge() {
    String holder = request.requestId();
    return switch (suspects.admit(request.digest(), holder)) {
      case SuspectRegistry.Admission.Allowed() -> {
        trial = false;
        yield Optional.empty();
      }
      case SuspectRegistry.Admission.Trial() -> {
        trial = true;
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

  private Open.Builder offer() {
    long elapsedMillis = dispatcher.timer().nowMillis() - startedMillis;
    long maxWaitMillis = request.level().maxWaitMillis();
    long waitMillis =
        relayedTokens > 0
            ? Math.max(maxWaitMillis, RECOVERY_LIMIT_MILLIS)
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
        .setSuspectDigest(trial ? request.digest() : "")
        .setModelCall(
            ModelCall.newBuilder()
                .setModel(request.model())
                .setBody(ByteString.copyFrom(request.body()))
                .setContinuedText(relayed.toString())
                .setContinuedTokens(relayedTokens)
                .setPrefixHash(request.prefixHash()));
  }

  // -- events

  private Optional<Step> take(RunEvent event) {
    return switch (event.getEventCase()) {
      case TOKEN -> Optional.of(text(event.getToken().getText()));
      case FINISHED -> finished(event);
      case REFUSED -> refusedThere(event.getRefused());
      case FAILED -> failedThere(event.getFailed());
      case ACCEPTED, DISPATCHED, SERVICE_ANSWER, EVENT_NOT_SET -> Optional.empty();
    };
  }

  private Step text(String text) {
    relayed.append(text);
    relayedTokens++;
    return new Step.Text(text);
  }

  private Optional<Step> finished(RunEvent event) {
    Finished finished = event.getFinished();
    if (finished.getEventCount() != event.getSequence()) {
      return retryAfterFailure(
          ResultCode.CONNECTION_LOST, "the stream ended with events missing", false);
    }
    if (trial) {
      suspects.recordSuccess(request.digest());
    }
    dispatcher.success();
    return Optional.of(
        new Step.Done(
            finished.getPromptTokens(),
            relayedTokens,
            finished.getCachedTokens(),
            finished.getFinishReason()));
  }

  private Optional<Step> refusedThere(Refused refused) {
    ResultCode code = ResultCode.ofNumber(refused.getCode()).orElse(ResultCode.INTERNAL);
    if (code == ResultCode.CANCELLED) {
      return Optional.of(refused(Refusal.of(code, refused.getDetail())));
    }
    lastRefusal =
        Optional.of(
            new Refusal(
                code, refused.getDetail(), ExecutionStatus.NOT_RUN, refused.getRetryAfterMillis()));
    leaveAttempt();
    return Optional.empty();
  }

  private Optional<Step> failedThere(Failed failed) {
    ResultCode code = ResultCode.ofNumber(failed.getCode()).orElse(ResultCode.INTERNAL);
    if (code == ResultCode.UPSTREAM_ERROR || code == ResultCode.CANCELLED) {
      return Optional.of(refused(Refusal.of(code, failed.getDetail())));
    }
    if (failed.getUpstreamCrashed()) {
      suspects.recordCrash(request.digest());
    }
    return retryAfterFailure(code, failed.getDetail(), failed.getNotRun());
  }

  private Optional<Step> retryAfterFailure(ResultCode code, String detail, boolean notRun) {
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
    leaveAttempt();
    if (!dispatcher.takeRetry()) {
      return Optional.of(
          refused(
              Refusal.of(ResultCode.RETRY_BUDGET_SPENT, detail, NO_UPSTREAM_RETRY_AFTER_MILLIS)));
    }
    return Optional.empty();
  }

  private void leaveAttempt() {
    RemoteAttempt left = attempt;
    excluded.add(left.link().vm().name());
    left.close();
    attempt = null;
  }

  /** Ends the request; what is known of its running outweighs what the code says. */
  private Step refused(Refusal refusal) {
    ExecutionStatus ran = refusal.executionStatus();
    if (relayedTokens > 0) {
      ran = ExecutionStatus.RAN;
    } else if (mayHaveRun && ran == ExecutionStatus.NOT_RUN) {
      ran = ExecutionStatus.MAY_HAVE_RUN;
    }
    return new Step.Refused(refusal.withExecutionStatus(ran));
  }

  private static Refusal noUpstream() {
    return Refusal.of(
        ResultCode.NO_UPSTREAM, "no upstream is available", NO_UPSTREAM_RETRY_AFTER_MILLIS);
  }
}
