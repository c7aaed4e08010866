package org.limpetvale.sidecar;

import com.google.common.flogger.FluentLogger;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.Failed;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.OrderReply;
import org.limpetvale.wire.OrderRequest;
import org.limpetvale.wire.Resume;
import org.limpetvale.wire.RunCommand;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.SidecarServiceGrpc;
import org.limpetvale.wire.TakeOrphanedUsageReply;
import org.limpetvale.wire.TakeOrphanedUsageRequest;
import org.limpetvale.wire.WatchPing;
import org.limpetvale.wire.WatchReport;

/** Serves the gRPC protocol between entries and this sidecar. */
final class SidecarGrpcService extends SidecarServiceGrpc.SidecarServiceImplBase {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final SidecarState state;
  private final AdmissionController admission;
  private final AttemptRegistry attempts;
  private final OrderFence orderFence;
  private final UsageRecordBuffer usage;
  private final TimerService timer;

  SidecarGrpcService(
      SidecarState state,
      AdmissionController admission,
      AttemptRegistry attempts,
      OrderFence orderFence,
      UsageRecordBuffer usage,
      TimerService timer) {
    this.state = Objects.requireNonNull(state, "state is null");
    this.admission = Objects.requireNonNull(admission, "admission is null");
    this.attempts = Objects.requireNonNull(attempts, "attempts is null");
    this.orderFence = Objects.requireNonNull(orderFence, "orderFence is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  @Override
  public StreamObserver<RunCommand> run(StreamObserver<RunEvent> out) {
    return new RunCommandObserver((ServerCallStreamObserver<RunEvent>) out);
  }

  private final class RunCommandObserver implements StreamObserver<RunCommand> {
    private final ServerCallStreamObserver<RunEvent> out;
    private volatile Attempt attempt;

    RunCommandObserver(ServerCallStreamObserver<RunEvent> out) {
      this.out = out;
      out.setOnCancelHandler(this::disconnected);
    }

    @Override
    public void onNext(RunCommand command) {
      switch (command.getCommandCase()) {
        case OPEN -> open(command.getOpen());
        case RESUME -> resume(command.getResume());
        case CANCEL -> Optional.ofNullable(attempt).ifPresent(Attempt::cancel);
        case DELIVERED -> {
          usage.add(command.getDelivered());
          Optional.ofNullable(attempt).ifPresent(Attempt::markAccounted);
        }
        case COMMAND_NOT_SET -> out.onError(Status.INVALID_ARGUMENT.asRuntimeException());
      }
    }

    @Override
    public void onError(Throwable error) {
      disconnected();
    }

    /** Handles the end of the call, which the entry sends once it has accounted for the answer. */
    @Override
    public void onCompleted() {
      Optional.ofNullable(attempt).ifPresent(Attempt::markAccounted);
      out.onCompleted();
    }

    private void open(Open open) {
      state.recordConfigVersion(open.getConfigVersion());
      Attempt opened = new Attempt(open, attempts.nextTicket(), timer, state::load);
      AttemptRegistry.AttemptKey key =
          new AttemptRegistry.AttemptKey(open.getRequestId(), open.getAttempt());
      if (!attempts.register(key, opened)) {
        out.onError(
            Status.ALREADY_EXISTS
                .withDescription("attempt " + key + " is known or closed")
                .asRuntimeException());
        return;
      }
      attempt = opened;
      opened.attach(out, 0);
      admission.offer(opened);
    }

    private void resume(Resume resume) {
      if (!resume.getInstance().equals(state.instance())) {
        sendFailed(resume, ResultCode.CONNECTION_LOST, "the sidecar has started anew", false);
        return;
      }
      AttemptRegistry.AttemptKey key =
          new AttemptRegistry.AttemptKey(resume.getRequestId(), resume.getAttempt());
      Optional<Attempt> found = attempts.findOrClose(key);
      if (found.isEmpty()) {
        sendFailed(resume, ResultCode.CONNECTION_LOST, "the attempt never arrived", true);
        return;
      }
      attempt = found.get();
      logger.atInfo().log(
          "resume request=%s attempt=%d from=%d",
          resume.getRequestId(), resume.getAttempt(), resume.getNextSequence());
      attempt.attach(out, resume.getNextSequence());
    }

    private void sendFailed(Resume resume, ResultCode code, String detail, boolean notRun) {
      out.onNext(
          RunEvent.newBuilder()
              .setRequestId(resume.getRequestId())
              .setAttempt(resume.getAttempt())
              .setSequence(resume.getNextSequence())
              .setFailed(
                  Failed.newBuilder().setCode(code.number()).setDetail(detail).setNotRun(notRun))
              .build());
    }

    private void disconnected() {
      Optional.ofNullable(attempt).ifPresent(each -> each.detach(out, timer.nowMillis()));
    }
  }

  @Override
  public StreamObserver<WatchPing> watch(StreamObserver<WatchReport> out) {
    return new StreamObserver<>() {
      @Override
      public void onNext(WatchPing ping) {
        state.recordConfigVersion(ping.getConfigVersion());
        usage.acknowledge(ping.getWriterId(), ping.getFlushedRecordIdsList());
        if (ping.getLeaving() && !admission.isDraining()) {
          logger.atInfo().log("drain: the VM list shows this VM as leaving");
          admission.drain();
        }
        out.onNext(
            WatchReport.newBuilder()
                .setSequence(ping.getSequence())
                .setLoad(state.load())
                .setIdentity(state.identity())
                .addAllOrphanedWriters(usage.orphanedWriters())
                .build());
      }

      @Override
      public void onError(Throwable error) {}

      @Override
      public void onCompleted() {
        out.onCompleted();
      }
    };
  }

  @Override
  public void order(OrderRequest request, StreamObserver<OrderReply> out) {
    OrderReply reply = orderFence.apply(request);
    logger.atInfo().log(
        "order id=%s duty=%s epoch=%d kind=%s applied=%s",
        request.getOrderId(),
        request.getDuty(),
        request.getEpoch(),
        request.getOrderCase(),
        reply.getApplied());
    out.onNext(reply);
    out.onCompleted();
  }

  @Override
  public void takeOrphanedUsage(
      TakeOrphanedUsageRequest request, StreamObserver<TakeOrphanedUsageReply> out) {
    TakeOrphanedUsageReply reply =
        TakeOrphanedUsageReply.newBuilder()
            .addAllRecords(usage.records(request.getWriterId()))
            .build();
    if (request.getForget()) {
      usage.remove(request.getWriterId());
    }
    out.onNext(reply);
    out.onCompleted();
  }
}
