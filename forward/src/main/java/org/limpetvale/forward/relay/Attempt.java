package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.RequestBody;
import org.limpetvale.forward.place.EngineBook;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;
import org.limpetvale.forward.spi.ResponseHead;

/** One try of a request at one upstream. */
final class Attempt implements AnswerSink, UpstreamState.Sent {
  /** Answers up to this size of requests that may be repeated are held until they are whole. */
  private static final int MOST_HELD_BYTES = 65_536;

  private static final long LEAST_SILENCE_MILLIS = 1_000;
  private static final int SILENCE_TARGETS = 3;

  /** Why an attempt did not serve the request. */
  enum Failure {
    /** The upstream did not run it and never will. */
    NOT_RUN,
    /** The connection was lost; it may have run. */
    LOST,
    /** The answer was broken; it may have run. */
    SPOILED,
    /** The upstream answered with a failure of its own. */
    FAILED
  }

  /** The exchange that the attempt belongs to. */
  interface Listener {
    /** The upstream has read the prompt or has dropped it. */
    void roomAtUpstream();

    /** The request began to run. */
    void ranFirstToken();

    /** Tells whether an answer is to be passed on to the caller. */
    boolean wants(HttpResponse response, boolean signed, boolean notRun);

    /** Passes the header of the answer on. */
    void passHead(HttpResponse response, boolean notRun);

    /** Passes a part of the body on. */
    void passContent(byte[] bytes);

    /** Sends what was passed on. */
    void flush();

    /** The answer has been passed on in full. */
    void completed(int status);

    /** The attempt ended without an answer that was passed on in full. */
    void notServed(Failure failure, String detail);
  }

  private final Listener listener;
  private final RequestPlan plan;
  private final RequestHead request;
  private final Upstream upstream;
  private final UpstreamState state;
  private final UpstreamConnection connection;
  private final EngineBook engines;
  private final TimerService timer;

  /** What was known of the upstream when the request was placed. */
  private final UpstreamLoad load;

  private final boolean tight;
  private final int freshTokens;
  private final Optional<EventBoundary> events;

  /** The time to the first event that was predicted, with the speed that was known. */
  private final double predictedMillis;

  private long beganMillis;
  private long lastSignMillis;

  /** When the last part of a stream came; 0 before the first. */
  private long lastEventMillis;

  private boolean sent;
  private boolean promptPending;
  private int status;
  private boolean notRun;
  private boolean wanted;

  /** Header and body that are held until the answer is whole; null when they are passed on. */
  private HttpResponse heldHead;

  private ByteArrayOutputStream heldBody;

  Attempt(
      Listener listener,
      RequestPlan plan,
      RequestHead request,
      Choice choice,
      UpstreamState state,
      UpstreamConnection connection,
      EngineBook engines,
      TimerService timer) {
    this.listener = listener;
    this.plan = plan;
    this.request = request;
    this.upstream = choice.upstream();
    this.freshTokens = choice.load().uncachedTokens(request.shape().promptTokens());
    this.state = state;
    this.connection = connection;
    this.engines = engines;
    this.timer = timer;
    this.load = choice.load();
    this.predictedMillis = choice.predictedMillis();
    this.tight = isForEngine() && engines.isTight(plan.service(), plan.route());
    this.events = plan.route().resumable() ? Optional.of(new EventBoundary()) : Optional.empty();
  }

  /** Sends the request; its body may follow as it arrives. */
  void send(HttpRequest message, RequestBody body) {
    beganMillis = timer.nowMillis();
    lastSignMillis = beganMillis;
    promptPending = true;
    state.begin(this, freshTokens, tight);
    connection.send(message, body, request.requestId(), this);
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns the id of the last event that was passed on whole. */
  Optional<String> lastEventId() {
    return events.flatMap(EventBoundary::lastId);
  }

  void setReading(boolean reading) {
    connection.setReading(reading);
  }

  /** Gives the attempt up; its connection ends with it. */
  void cancel() {
    connection.cancel();
    leave();
  }

  // -- signs of life

  @Override
  public void requestSent() {
    sent = true;
    lastSignMillis = timer.nowMillis();
  }

  /** An upstream that has not been sent the whole request is not silent. */
  @Override
  public long lastSignMillis() {
    return sent ? lastSignMillis : timer.nowMillis();
  }

  @Override
  public long silentAfterMillis() {
    return Math.max(LEAST_SILENCE_MILLIS, SILENCE_TARGETS * plan.route().targetLatencyMillis());
  }

  // -- the answer

  @Override
  public void head(HttpResponse response, ResponseHead head) {
    lastSignMillis = timer.nowMillis();
    head.load().ifPresent(load -> state.told(load, lastSignMillis));
    status = response.status().code();
    notRun = head.notExecuted() || status == Statuses.MISDIRECTED;
    if (!notRun && !mayBeginLater()) {
      begun();
    }
    state.outcome(Statuses.isServerError(status) && !notRun, lastSignMillis);
    wanted = listener.wants(response, head.signed(), notRun);
    if (!wanted) {
      return;
    }
    if (plan.route().kind() == Route.Kind.IDEMPOTENT) {
      heldHead =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1, response.status(), response.headers().copy());
      heldBody = new ByteArrayOutputStream();
    } else {
      listener.passHead(response, notRun);
    }
  }

  /** A stream begins to run with its first event; a failure of the upstream counts as run. */
  private boolean mayBeginLater() {
    return plan.route().kind() == Route.Kind.STREAMING && !Statuses.isServerError(status);
  }

  @Override
  public void content(ByteBuf bytes) {
    lastSignMillis = timer.nowMillis();
    if (!wanted) {
      return;
    }
    if (!notRun) {
      begun();
      notePace();
    }
    byte[] copy = new byte[bytes.readableBytes()];
    bytes.getBytes(bytes.readerIndex(), copy);
    if (heldHead != null) {
      hold(copy);
    } else {
      byte[] whole = events.map(each -> each.take(copy)).orElse(copy);
      if (whole.length > 0) {
        listener.passContent(whole);
      }
    }
  }

  /** Lets the entry learn how its upstream reads and answers. */
  private void notePace() {
    if (!Statuses.isSuccess(status)) {
      return;
    }
    if (lastEventMillis > 0 && isForEngine()) {
      engines.notePause(upstream, lastSignMillis - lastEventMillis);
    } else if (lastEventMillis == 0) {
      noteBeginning(lastSignMillis - beganMillis);
    }
    lastEventMillis = lastSignMillis;
  }

  private void noteBeginning(long millis) {
    state.answerBegan(millis, predictedMillis * load.relativeSpeed(), lastSignMillis);
    if (isForEngine() && load.pendingPromptTokens() == 0) {
      engines.noteRead(upstream, request.shape(), load.cachedTokens(), millis);
    }
  }

  private boolean isForEngine() {
    return request.shape().isModelRequest();
  }

  private void hold(byte[] bytes) {
    heldBody.writeBytes(bytes);
    if (heldBody.size() > MOST_HELD_BYTES) {
      passHeld();
    }
  }

  private void passHeld() {
    listener.passHead(heldHead, notRun);
    if (heldBody.size() > 0) {
      listener.passContent(heldBody.toByteArray());
    }
    heldHead = null;
    heldBody = null;
  }

  @Override
  public void batchEnd() {
    if (wanted && heldHead == null) {
      listener.flush();
    }
  }

  @Override
  public void complete() {
    leave();
    if (!wanted) {
      listener.notServed(unwantedFailure(), "status " + status);
      return;
    }
    if (heldHead != null) {
      passHeld();
    }
    events
        .map(EventBoundary::takeRest)
        .filter(rest -> rest.length > 0)
        .ifPresent(listener::passContent);
    listener.completed(status);
  }

  private Failure unwantedFailure() {
    if (notRun) {
      return Failure.NOT_RUN;
    }
    return Statuses.isServerError(status) ? Failure.FAILED : Failure.SPOILED;
  }

  @Override
  public void broken(Break why, String detail) {
    leave();
    if (notRun) {
      listener.notServed(Failure.NOT_RUN, "status " + status);
      return;
    }
    state.outcome(true, timer.nowMillis());
    listener.notServed(why == Break.SPOILED ? Failure.SPOILED : Failure.LOST, detail);
  }

  private void begun() {
    listener.ranFirstToken();
    promptRead();
  }

  private void leave() {
    state.end(this, tight);
    promptRead();
  }

  private void promptRead() {
    if (promptPending) {
      promptPending = false;
      state.promptRead(freshTokens);
      listener.roomAtUpstream();
    }
  }
}
