package org.limpetvale.sidecar;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.Accepted;
import org.limpetvale.wire.Dispatched;
import org.limpetvale.wire.Failed;
import org.limpetvale.wire.Finished;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.Refused;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.ServiceAnswer;
import org.limpetvale.wire.SidecarLoad;
import org.limpetvale.wire.Token;

/**
 * One attempt of a request at this sidecar, with the events it has emitted.
 *
 * <p>The events are buffered, so that an entry that has lost its connection can reattach and
 * continue with the first event that it has not received.
 */
final class Attempt {
  /** Phase of the lifecycle of an attempt. */
  enum Phase {
    QUEUED,
    RUNNING,
    ENDED
  }

  private final Open open;
  private final long ticket;
  private final TimerService timer;
  private final Supplier<SidecarLoad> load;
  private final List<RunEvent> events = new ArrayList<>();
  private Phase phase = Phase.QUEUED;
  private StreamObserver<RunEvent> observer;
  private long detachedSinceMillis;
  private Runnable abort = () -> {};
  private boolean cancelled;
  private boolean accounted;
  private long endedMillis;

  Attempt(Open open, long ticket, TimerService timer, Supplier<SidecarLoad> load) {
    this.open = Objects.requireNonNull(open, "open is null");
    this.ticket = ticket;
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.load = Objects.requireNonNull(load, "load is null");
  }

  Open open() {
    return open;
  }

  long ticket() {
    return ticket;
  }

  /** Returns the time at which the attempt ended, in milliseconds; 0 before its end. */
  synchronized long endedMillis() {
    return endedMillis;
  }

  synchronized Phase phase() {
    return phase;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  /** Returns the time since which no entry is attached, in milliseconds; 0 while one is. */
  synchronized long detachedSinceMillis() {
    return detachedSinceMillis;
  }

  /** Attaches an entry: sends it all events from a sequence number on, past and future ones. */
  synchronized void attach(StreamObserver<RunEvent> to, long nextSequence) {
    observer = to;
    detachedSinceMillis = 0;
    for (int i = (int) Math.min(nextSequence, events.size()); i < events.size(); i++) {
      send(events.get(i));
    }
  }

  /** Detaches an entry whose connection was lost. */
  synchronized void detach(StreamObserver<RunEvent> from, long nowMillis) {
    if (observer == from) {
      observer = null;
      detachedSinceMillis = nowMillis;
    }
  }

  void accepted(int queuePosition) {
    append(
        RunEvent.newBuilder().setAccepted(Accepted.newBuilder().setQueuePosition(queuePosition)));
  }

  synchronized void dispatched(long waitedMillis) {
    phase = Phase.RUNNING;
    append(
        RunEvent.newBuilder().setDispatched(Dispatched.newBuilder().setWaitedMillis(waitedMillis)));
  }

  void token(String text) {
    append(RunEvent.newBuilder().setToken(Token.newBuilder().setText(text)));
  }

  void serviceAnswer(ServiceAnswer answer) {
    append(RunEvent.newBuilder().setServiceAnswer(answer));
  }

  synchronized void finished(
      int promptTokens, int completionTokens, int cachedTokens, String reason) {
    end(
        RunEvent.newBuilder()
            .setFinished(
                Finished.newBuilder()
                    .setEventCount(events.size())
                    .setPromptTokens(promptTokens)
                    .setCompletionTokens(completionTokens)
                    .setCachedTokens(cachedTokens)
                    .setFinishReason(reason)));
  }

  void refused(ResultCode code, String detail, long retryAfterMillis) {
    end(
        RunEvent.newBuilder()
            .setRefused(
                Refused.newBuilder()
                    .setCode(code.number())
                    .setDetail(detail)
                    .setRetryAfterMillis(retryAfterMillis)));
  }

  void failed(ResultCode code, String detail, boolean notRun) {
    end(
        RunEvent.newBuilder()
            .setFailed(
                Failed.newBuilder().setCode(code.number()).setDetail(detail).setNotRun(notRun)));
  }

  void crashed(String detail, int requestsAtCrash) {
    end(
        RunEvent.newBuilder()
            .setFailed(
                Failed.newBuilder()
                    .setCode(ResultCode.UPSTREAM_CRASHED.number())
                    .setDetail(detail)
                    .setUpstreamCrashed(true)
                    .setRequestsAtCrash(requestsAtCrash)));
  }

  /** Records that the entry has accounted for the answer or has ended the attempt itself. */
  synchronized void markAccounted() {
    accounted = true;
  }

  /**
   * Returns the tokens of a complete answer that no entry has accounted for; 0 when there are none.
   */
  synchronized int unaccountedTokens() {
    if (accounted || events.isEmpty() || !events.getLast().hasFinished()) {
      return 0;
    }
    return events.getLast().getFinished().getCompletionTokens();
  }

  /**
   * Sets the action that aborts the work at the upstream; runs it immediately if the attempt is
   * already cancelled.
   */
  void onAbort(Runnable action) {
    boolean alreadyCancelled;
    synchronized (this) {
      abort = action;
      alreadyCancelled = cancelled;
    }
    if (alreadyCancelled) {
      action.run();
    }
  }

  void cancel() {
    Runnable action;
    synchronized (this) {
      if (phase == Phase.ENDED || cancelled) {
        return;
      }
      cancelled = true;
      action = abort;
    }
    action.run();
  }

  private synchronized void append(RunEvent.Builder event) {
    if (phase == Phase.ENDED) {
      return;
    }
    RunEvent numbered =
        event
            .setRequestId(open.getRequestId())
            .setAttempt(open.getAttempt())
            .setSequence(events.size())
            .build();
    events.add(numbered);
    send(numbered);
  }

  private synchronized void end(RunEvent.Builder event) {
    if (phase == Phase.ENDED) {
      return;
    }
    append(event.setLoad(load.get()));
    phase = Phase.ENDED;
    endedMillis = timer.nowMillis();
  }

  private void send(RunEvent event) {
    if (observer == null) {
      return;
    }
    try {
      observer.onNext(event);
    } catch (RuntimeException e) {
      // The connection is closed; the entry reattaches.
      observer = null;
    }
  }
}
