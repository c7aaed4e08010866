package org.limpetvale.entry.upstream;

import com.google.common.flogger.FluentLogger;
import io.grpc.stub.StreamObserver;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.wire.Cancel;
import org.limpetvale.wire.Delivered;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.Resume;
import org.limpetvale.wire.RunCommand;
import org.limpetvale.wire.RunEvent;

/**
 * One attempt of a request at one sidecar, seen from the entry.
 *
 * <p>Events are taken in order only: a frame of another request or attempt, or one that has come
 * before, is dropped. When the connection is lost the attempt attaches again on the link's new
 * connection, from the next event it lacks.
 */
public final class RemoteAttempt {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time to attach again, in milliseconds. */
  private static final long RESUME_TIMEOUT_MILLIS = 2500;

  private static final long RESUME_RETRY_DELAY_MILLIS = 100;

  private final SidecarLink link;
  private final Open open;
  private final String instance;
  private final TimerService timer;
  private final BlockingQueue<AttemptUpdate> queue = new LinkedBlockingQueue<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private long nextSequence;
  private long lostSinceMillis;
  private boolean ended;
  private AttemptStream currentStream;

  private RemoteAttempt(SidecarLink link, Open open, TimerService timer) {
    this.link = Objects.requireNonNull(link, "link is null");
    this.open = Objects.requireNonNull(open, "open is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.instance = link.instance();
  }

  /** Opens an attempt at a sidecar. */
  public static RemoteAttempt open(SidecarLink link, Open open, TimerService timer) {
    RemoteAttempt attempt = new RemoteAttempt(link, open, timer);
    link.attemptOpened();
    attempt.openStream(RunCommand.newBuilder().setOpen(open).build());
    return attempt;
  }

  /** One connection's part of the attempt. */
  private final class AttemptStream implements StreamObserver<RunEvent> {
    private StreamObserver<RunCommand> commands;

    @Override
    public void onNext(RunEvent event) {
      accept(this, event);
    }

    @Override
    public void onError(Throwable error) {
      onConnectionLost(this, String.valueOf(error.getMessage()));
    }

    @Override
    public void onCompleted() {
      onConnectionLost(this, "the stream ended");
    }
  }

  // -- for the request

  /** Returns the link of the attempt. */
  public SidecarLink link() {
    return link;
  }

  /** Waits for what comes next. */
  public AttemptUpdate next(long timeoutMillis) throws InterruptedException {
    AttemptUpdate next = queue.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    return next == null ? new AttemptUpdate.Idle() : next;
  }

  /** Stops the request: what comes next is the refusal, and the sidecar cancels. */
  public void stop(Refusal refusal) {
    queue.add(new AttemptUpdate.Stopped(refusal));
    cancel(refusal.code().label());
  }

  /** Cancels the work at the sidecar. */
  public synchronized void cancel(String reason) {
    send(RunCommand.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)).build());
  }

  /** Tells the sidecar that the caller has the whole answer. */
  public synchronized void confirmDelivery(Delivered delivered) {
    send(RunCommand.newBuilder().setDelivered(delivered).build());
  }

  /** Ends the attempt here. */
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    link.attemptClosed();
    synchronized (this) {
      if (currentStream != null && currentStream.commands != null) {
        try {
          currentStream.commands.onCompleted();
        } catch (IllegalStateException e) {
          logger.atFine().log("stream of %s was closed before", open.getRequestId());
        }
      }
    }
  }

  // -- events

  private synchronized void accept(AttemptStream from, RunEvent event) {
    boolean foreign =
        from != currentStream
            || !event.getRequestId().equals(open.getRequestId())
            || event.getAttempt() != open.getAttempt()
            || event.getSequence() != nextSequence;
    if (ended || foreign) {
      logger.atWarning().log(
          "dropped a frame request=%s attempt=%d sequence=%d expected=%d",
          event.getRequestId(), event.getAttempt(), event.getSequence(), nextSequence);
      return;
    }
    nextSequence++;
    lostSinceMillis = 0;
    ended = event.hasFinished() || event.hasFailed() || event.hasRefused();
    if (event.hasLoad()) {
      link.updateLoad(event.getLoad());
    }
    queue.add(new AttemptUpdate.SidecarEvent(event));
  }

  private void onConnectionLost(AttemptStream from, String detail) {
    synchronized (this) {
      if (from != currentStream || ended || closed.get()) {
        return;
      }
      if (lostSinceMillis == 0) {
        lostSinceMillis = timer.nowMillis();
      }
    }
    resumeLater(from, detail);
  }

  private void resumeLater(AttemptStream from, String detail) {
    timer.after(RESUME_RETRY_DELAY_MILLIS, () -> resume(from, detail));
  }

  private void resume(AttemptStream from, String detail) {
    synchronized (this) {
      if (from != currentStream || ended || closed.get()) {
        return;
      }
      if (timer.nowMillis() - lostSinceMillis > RESUME_TIMEOUT_MILLIS || instance.isEmpty()) {
        ended = true;
        queue.add(new AttemptUpdate.ConnectionLost(detail));
        return;
      }
    }
    if (!link.isConnected()) {
      resumeLater(from, detail);
      return;
    }
    logger.atInfo().log(
        "resume request=%s from=%d cause=%s", open.getRequestId(), nextSequence, detail);
    Resume resume =
        Resume.newBuilder()
            .setRequestId(open.getRequestId())
            .setAttempt(open.getAttempt())
            .setNextSequence(nextSequence)
            .setInstance(instance)
            .build();
    openStream(RunCommand.newBuilder().setResume(resume).build());
  }

  private synchronized void openStream(RunCommand first) {
    AttemptStream next = new AttemptStream();
    currentStream = next;
    Optional<StreamObserver<RunCommand>> commands = link.run(next);
    if (commands.isEmpty()) {
      ended = true;
      queue.add(new AttemptUpdate.ConnectionLost("the link is closed"));
      return;
    }
    next.commands = commands.get();
    send(first);
  }

  private void send(RunCommand command) {
    if (currentStream == null || currentStream.commands == null) {
      return;
    }
    try {
      currentStream.commands.onNext(command);
    } catch (IllegalStateException e) {
      logger.atFine().log("stream of %s is closed", open.getRequestId());
    }
  }
}
