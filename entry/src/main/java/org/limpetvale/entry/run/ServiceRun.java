package org.limpetvale.entry.run;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.upstream.AttemptUpdate;
import org.limpetvale.entry.upstream.RemoteAttempt;
import org.limpetvale.wire.Delivered;
import org.limpetvale.wire.Failed;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.ServiceAnswer;
import org.limpetvale.wire.ServiceCall;
import org.limpetvale.wire.UsageRecord;

/**
 * Runs a call of a plain service.
 *
 * <p>A call that is not repeatable is retried only if every sidecar tried so far has confirmed that
 * it did not run.
 */
public final class ServiceRun implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MILLIS = 1000;
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final ServiceRequest request;
  private final Dispatcher dispatcher;
  private final long startedMillis;
  private final Set<String> excluded = new HashSet<>();
  private int attemptNumber;
  private volatile RemoteAttempt attempt;
  private volatile Refusal stopRefusal;

  /** Creates a run that has made no attempt yet. */
  public ServiceRun(ServiceRequest request, Dispatcher dispatcher) {
    this.request = Objects.requireNonNull(request, "request is null");
    this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
    this.startedMillis = dispatcher.timer().nowMillis();
  }

  /** The outcome of one attempt. */
  private sealed interface Outcome {
    record Answered(ServiceAnswer answer) implements Outcome {}

    record NotRun(Refusal refusal) implements Outcome {}

    record MayHaveRun(Refusal refusal) implements Outcome {}

    record Stopped(Refusal refusal) implements Outcome {}
  }

  /** Runs the call; a refusal states whether the call may have run. */
  public Result<ServiceAnswer> run() throws InterruptedException {
    Refusal last =
        Refusal.of(ResultCode.NO_UPSTREAM, "no upstream is available", RETRY_AFTER_MILLIS);
    boolean mayHaveRun = false;
    for (int offer = 0; offer < dispatcher.maxOffers() && stopRefusal == null; offer++) {
      Optional<RemoteAttempt> opened = dispatcher.open(request.service(), buildOffer(), excluded);
      if (opened.isEmpty()) {
        break;
      }
      attempt = opened.get();
      attemptNumber++;
      Outcome outcome = awaitOutcome(attempt);
      if (!(outcome instanceof Outcome.Answered)) {
        attempt.close();
      }
      excluded.add(vm());
      switch (outcome) {
        case Outcome.Answered(ServiceAnswer answer) -> {
          dispatcher.recordSuccess();
          return Result.ok(answer);
        }
        case Outcome.Stopped(Refusal refusal) -> {
          return Result.err(refusal);
        }
        case Outcome.NotRun(Refusal refusal) -> last = refusal;
        case Outcome.MayHaveRun(Refusal refusal) -> {
          last = refusal;
          mayHaveRun = true;
          if (!request.repeatable() || !dispatcher.tryAcquireRetry()) {
            return Result.err(refusal.withExecutionStatus(ExecutionStatus.MAY_HAVE_RUN));
          }
        }
      }
    }
    Refusal refusal =
        stopRefusal == null ? last : stopRefusal.withExecutionStatus(ExecutionStatus.NOT_RUN);
    return Result.err(
        mayHaveRun ? refusal.withExecutionStatus(ExecutionStatus.MAY_HAVE_RUN) : refusal);
  }

  /** Stops the call from another thread. */
  public void stop(Refusal refusal) {
    stopRefusal = refusal;
    RemoteAttempt current = attempt;
    if (current != null) {
      current.stop(refusal);
    }
  }

  /** Returns the VM that the last attempt ran on. */
  public String vm() {
    RemoteAttempt current = attempt;
    return current == null ? "" : current.link().vm().name();
  }

  /** Confirms to the sidecar that the caller has received the complete answer. */
  public void confirmDelivery(String writerId, UsageRecord record) {
    attempt.confirmDelivery(Delivered.newBuilder().setWriterId(writerId).setRecord(record).build());
  }

  @Override
  public void close() {
    RemoteAttempt current = attempt;
    if (current != null) {
      current.close();
    }
  }

  private Outcome awaitOutcome(RemoteAttempt current) throws InterruptedException {
    if (stopRefusal != null) {
      current.stop(stopRefusal);
    }
    ServiceAnswer answer = null;
    while (true) {
      switch (current.next(POLL_MILLIS)) {
        case AttemptUpdate.Idle() -> {
          continue;
        }
        case AttemptUpdate.Stopped(Refusal refusal) -> {
          return new Outcome.Stopped(refusal);
        }
        case AttemptUpdate.ConnectionLost(String detail) -> {
          return new Outcome.MayHaveRun(
              Refusal.of(ResultCode.CONNECTION_LOST, detail, RETRY_AFTER_MILLIS));
        }
        case AttemptUpdate.SidecarEvent(RunEvent event) -> {
          if (event.hasServiceAnswer()) {
            answer = event.getServiceAnswer();
          }
          Optional<Outcome> outcome = toOutcome(event, answer);
          if (outcome.isPresent()) {
            return outcome.get();
          }
        }
      }
    }
  }

  private Optional<Outcome> toOutcome(RunEvent event, ServiceAnswer answer) {
    return switch (event.getEventCase()) {
      case FINISHED -> Optional.of(new Outcome.Answered(answer));
      case REFUSED ->
          Optional.of(
              new Outcome.NotRun(
                  new Refusal(
                      toResultCode(event.getRefused().getCode()),
                      event.getRefused().getDetail(),
                      ExecutionStatus.NOT_RUN,
                      event.getRefused().getRetryAfterMillis())));
      case FAILED -> Optional.of(toFailedOutcome(event.getFailed()));
      case ACCEPTED, DISPATCHED, TOKEN, SERVICE_ANSWER, EVENT_NOT_SET -> Optional.empty();
    };
  }

  private Outcome toFailedOutcome(Failed failed) {
    logger.atInfo().log(
        "call failed request=%s notRun=%s detail=%s",
        request.requestId(), failed.getNotRun(), failed.getDetail());
    Refusal refusal =
        Refusal.of(toResultCode(failed.getCode()), failed.getDetail(), RETRY_AFTER_MILLIS);
    return failed.getNotRun()
        ? new Outcome.NotRun(refusal.withExecutionStatus(ExecutionStatus.NOT_RUN))
        : new Outcome.MayHaveRun(refusal.withExecutionStatus(ExecutionStatus.MAY_HAVE_RUN));
  }

  private Open.Builder buildOffer() {
    long elapsedMillis = dispatcher.timer().nowMillis() - startedMillis;
    return Open.newBuilder()
        .setRequestId(request.requestId())
        .setAttempt(attemptNumber)
        .setWorkspace(request.caller().workspace())
        .setRequestClass(request.className())
        .setTier(request.level().tier())
        .setMaxWaitMillis(Math.max(1, request.level().maxWaitMillis() - elapsedMillis))
        .setEstimatedTokens(1)
        .setFloorShare(request.level().floorShare())
        .setWeight(request.caller().parameters().weight())
        .setRepeatable(request.repeatable())
        .setServiceCall(
            ServiceCall.newBuilder()
                .setService(request.service())
                .setMethod(request.method())
                .setPath(request.path())
                .addAllHeaders(request.headers())
                .setBody(ByteString.copyFrom(request.body())));
  }

  private static ResultCode toResultCode(int number) {
    return ResultCode.ofNumber(number).orElse(ResultCode.INTERNAL);
  }
}
