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
import org.limpetvale.forward.place.EngineProfiles;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;
import org.limpetvale.forward.spi.ResponseHead;

/** One try of a request at one upstream. */
final class Attempt implements AnswerSink, UpstreamState.SentRequest {
  /** Answers up to this size of requests that may be repeated are held until they are whole. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  private static final long MIN_SILENCE_MILLIS = 1_000;
  private static final int SILENCE_TARGET_MULTIPLE = 3;

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
    void onUpstreamCapacity();

    /** The request began to run. */
    void onExecutionStarted();

    /** Tells whether an answer is to be passed on to the caller. */
    boolean shouldForward(HttpResponse response, boolean signed, boolean notRun);

    /** Passes the header of the answer on. */
    void forwardHead(HttpResponse response, boolean notRun);

    /** Passes a part of the body on. */
    void forwardContent(byte[] bytes);

    /** Sends what was passed on. */
    void flush();

    /** The answer has been passed on in full. */
    void onCompleted(int status);

    /** The attempt ended without an answer that was passed on in full. */
    void onFailed(Failure failure, String detail);
  }

  private final Listener listener;
  private final RequestPlan plan;
  private final RequestHead request;
  private final Upstream upstream;
  private final UpstreamState state;
  private final UpstreamConnection connection;
  private final EngineProfiles engines;
  private final TimerService timer;

  /** What was known of the upstream when the request was placed. */
  private final UpstreamLoad load;

  private final boolean tight;
  private final int freshTokens;
  private final Optional<EventStreamBuffer> eventBuffer;

  /** The time to the first event that was predicted, with the speed that was known. */
  private final double predictedMillis;

  private long startedMillis;
  private long lastSignMillis;

  /** When the last part of a stream came; 0 before the first. */
  private long lastEventMillis;

  private boolean requestSent;
  private boolean promptPending;
  private int status;
  private boolean notRun;
  private boolean forwarded;

  /** Header and body that are held until the answer is whole; null when they are passed on. */
  private HttpResponse bufferedHead;

  private ByteArrayOutputStream bufferedBody;

  Attempt(
      Listener listener,
      RequestPlan plan,
      RequestHead request,
      Choice choice,
      UpstreamState state,
      UpstreamConnection connection,
      EngineProfiles engines,
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
    this.tight = isModelRequest() && engines.isTight(plan.service(), plan.route());
    this.eventBuffer =
        plan.route().resumable() ? Optional.of(new EventStreamBuffer()) : Optional.empty();
  }

  /** Sends the request; its body may follow as it arrives. */
  void send(HttpRequest message, RequestBody body) {
    startedMillis = timer.nowMillis();
    lastSignMillis = startedMillis;
    promptPending = true;
    state.requestSent(this, freshTokens, tight);
    connection.send(message, body, request.requestId(), this);
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns the id of the last event that was passed on whole. */
  Optional<String> lastEventId() {
    return eventBuffer.flatMap(EventStreamBuffer::lastId);
  }

  void setAutoRead(boolean reading) {
    connection.setAutoRead(reading);
  }

  /** Gives the attempt up; its connection ends with it. */
  void cancel() {
    connection.cancel();
    deregister();
  }

  // -- signs of life

  @Override
  public void onRequestSent() {
    requestSent = true;
    lastSignMillis = timer.nowMillis();
  }

  /** An upstream that has not been sent the whole request is not silent. */
  @Override
  public long lastActivityMillis() {
    return requestSent ? lastSignMillis : timer.nowMillis();
  }

  @Override
  public long silenceTimeoutMillis() {
    return Math.max(
        MIN_SILENCE_MILLIS, SILENCE_TARGET_MULTIPLE * plan.route().targetLatencyMillis());
  }

  // -- the answer

  @Override
  public void onHead(HttpResponse response, ResponseHead head) {
    lastSignMillis = timer.nowMillis();
    head.load().ifPresent(load -> state.loadReported(load, lastSignMillis));
    status = response.status().code();
    notRun = head.notExecuted() || status == StatusCodes.MISDIRECTED;
    if (!notRun && !startsWithFirstEvent()) {
      markExecutionStarted();
    }
    state.recordOutcome(StatusCodes.isServerError(status) && !notRun, lastSignMillis);
    forwarded = listener.shouldForward(response, head.signed(), notRun);
    if (!forwarded) {
      return;
    }
    if (plan.route().kind() == Route.Kind.IDEMPOTENT) {
      bufferedHead =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1, response.status(), response.headers().copy());
      bufferedBody = new ByteArrayOutputStream();
    } else {
      listener.forwardHead(response, notRun);
    }
  }

  /** A stream begins to run with its first event; a failure of the upstream counts as run. */
  private boolean startsWithFirstEvent() {
    return plan.route().kind() == Route.Kind.STREAMING && !StatusCodes.isServerError(status);
  }

  @Override
  public void onContent(ByteBuf bytes) {
    lastSignMillis = timer.nowMillis();
    if (!forwarded) {
      return;
    }
    if (!notRun) {
      markExecutionStarted();
      recordTiming();
    }
    byte[] copy = new byte[bytes.readableBytes()];
    bytes.getBytes(bytes.readerIndex(), copy);
    if (bufferedHead != null) {
      buffer(copy);
    } else {
      byte[] whole = eventBuffer.map(each -> each.append(copy)).orElse(copy);
      if (whole.length > 0) {
        listener.forwardContent(whole);
      }
    }
  }

  /** Lets the entry learn how its upstream reads and answers. */
  private void recordTiming() {
    if (!StatusCodes.isSuccess(status)) {
      return;
    }
    if (lastEventMillis > 0 && isModelRequest()) {
      engines.notePause(upstream, lastSignMillis - lastEventMillis);
    } else if (lastEventMillis == 0) {
      recordFirstContent(lastSignMillis - startedMillis);
    }
    lastEventMillis = lastSignMillis;
  }

  private void recordFirstContent(long millis) {
    state.answerStarted(millis, predictedMillis * load.relativeSpeed(), lastSignMillis);
    if (isModelRequest() && load.pendingPromptTokens() == 0) {
      engines.noteRead(upstream, request.shape(), load.cachedTokens(), millis);
    }
  }

  private boolean isModelRequest() {
    return request.shape().isModelRequest();
  }

  private void buffer(byte[] bytes) {
    bufferedBody.writeBytes(bytes);
    if (bufferedBody.size() > MAX_BUFFERED_BYTES) {
      forwardBuffered();
    }
  }

  private void forwardBuffered() {
    listener.forwardHead(bufferedHead, notRun);
    if (bufferedBody.size() > 0) {
      listener.forwardContent(bufferedBody.toByteArray());
    }
    bufferedHead = null;
    bufferedBody = null;
  }

  @Override
  public void onReadComplete() {
    if (forwarded && bufferedHead == null) {
      listener.flush();
    }
  }

  @Override
  public void onComplete() {
    deregister();
    if (!forwarded) {
      listener.onFailed(discardedResponseFailure(), "status " + status);
      return;
    }
    if (bufferedHead != null) {
      forwardBuffered();
    }
    eventBuffer
        .map(EventStreamBuffer::drainPartial)
        .filter(rest -> rest.length > 0)
        .ifPresent(listener::forwardContent);
    listener.onCompleted(status);
  }

  private Failure discardedResponseFailure() {
    if (notRun) {
      return Failure.NOT_RUN;
    }
    return StatusCodes.isServerError(status) ? Failure.FAILED : Failure.SPOILED;
  }

  @Override
  public void onFailure(Break why, String detail) {
    deregister();
    if (notRun) {
      listener.onFailed(Failure.NOT_RUN, "status " + status);
      return;
    }
    state.recordOutcome(true, timer.nowMillis());
    listener.onFailed(why == Break.SPOILED ? Failure.SPOILED : Failure.LOST, detail);
  }

  private void markExecutionStarted() {
    listener.onExecutionStarted();
    markPromptRead();
  }

  private void deregister() {
    state.requestEnded(this, tight);
    markPromptRead();
  }

  private void markPromptRead() {
    if (promptPending) {
      promptPending = false;
      state.promptRead(freshTokens);
      listener.onUpstreamCapacity();
    }
  }
}
