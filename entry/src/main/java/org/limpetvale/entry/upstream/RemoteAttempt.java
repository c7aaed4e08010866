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
 * The entry's side of one attempt to run a request at one sidecar.
 *
 * <p>Events are accepted in sequence only. Frames of another request or attempt, duplicates and
 * frames out of sequence are dropped. After a lost connection the attempt resumes on the link's new
 * connection, starting with the first missing event.
 */
public final class RemoteAttempt {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum time to resume after a lost connection, in milliseconds. */
  private static final long RESUME_TIMEOUT_MILLIS = 2500;

  private static final long RESUME_RETRY_DELAY_MILLIS = 100;

  private final SidecarLink link;
  private final Open open;
  private final String instance;
  private final TimerService timer;
  private final BlockingQueue<AttemptUpdate> queue = new LinkedBlockingQueue<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private long nextSequence;
  private long disconnectedSinceMillis;
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

  /** The stream of the attempt on one connection. */
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

  /** Returns the link to the sidecar that runs the attempt. */
  public SidecarLink link() {
    return link;
  }

  /** Waits for the next update; returns {@link AttemptUpdate.Idle} after the timeout. */
  public AttemptUpdate next(long timeoutMillis) throws InterruptedException {
    AttemptUpdate next = queue.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    return next == null ? new AttemptUpdate.Idle() : next;
  }

  /** Queues the refusal as an update and cancels the work at the sidecar. */
  public void stop(Refusal refusal) {
    queue.add(new AttemptUpdate.Stopped(refusal));
    cancel(refusal.code().label());
  }

  /** Cancels the work at the sidecar. */
  public synchronized void cancel(String reason) {
    send(RunCommand.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)).build());
  }

  /** Confirms to the sidecar that the caller has received the complete answer. */
  public synchronized void confirmDelivery(Delivered delivered) {
    send(RunCommand.newBuilder().setDelivered(delivered).build());
  }

  /** Closes the attempt on this entry; does nothing when it is already closed. */
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
          logger.atFine().log("stream of request %s was already closed", open.getRequestId());
        }
      }
    }
  }

  private synchronized void accept(AttemptStream from, RunEvent event) {
    boolean unexpected =
        from != currentStream
            || !event.getRequestId().equals(open.getRequestId())
            || event.getAttempt() != open.getAttempt()
            || event.getSequence() != nextSequence;
    if (ended || unexpected) {
      logger.atWarning().log(
          "dropped a frame request=%s attempt=%d sequence=%d expected=%d",
          event.getRequestId(), event.getAttempt(), event.getSequence(), nextSequence);
      return;
    }
    nextSequence++;
    disconnectedSinceMillis = 0;
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
      if (disconnectedSinceMillis == 0) {
        disconnectedSinceMillis = timer.nowMillis();
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
      if (timer.nowMillis() - disconnectedSinceMillis > RESUME_TIMEOUT_MILLIS
          || instance.isEmpty()) {
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
      logger.atFine().log("stream of request %s is closed", open.getRequestId());
    }
  }
}
