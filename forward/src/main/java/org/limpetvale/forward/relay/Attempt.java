package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.limpetvale.core.fleet.Route;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.placement.Choice;
import org.limpetvale.core.placement.UpstreamLoad;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.RequestBody;
import org.limpetvale.forward.place.EngineProfiles;
import org.limpetvale.forward.place.UpstreamNotices;
import org.limpetvale.forward.place.UpstreamState;
import org.limpetvale.forward.route.RequestPlan;
import org.limpetvale.forward.spi.RequestHead;
import org.limpetvale.forward.spi.ResponseHead;

/** One attempt to serve a request at one upstream. */
final class Attempt implements ResponseListener, UpstreamState.SentRequest {
  /** Responses to idempotent requests are buffered up to this size until they are complete. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  private static final byte[] NOTHING = {};
  private static final long MIN_SILENCE_MILLIS = 1_000;
  private static final int SILENCE_TARGET_MULTIPLE = 3;

  /** Why an attempt failed. */
  enum Failure {
    /** The upstream has not executed the request and will not. */
    NOT_RUN,
    /** The connection was lost; the request may have been executed. */
    LOST,
    /** The response was invalid; the request may have been executed. */
    SPOILED,
    /** The upstream responded with a server error. */
    FAILED
  }

  /** Receives the progress and the result of an attempt. */
  interface Listener {
    /** Called when the upstream no longer has this prompt to process. */
    void onUpstreamCapacity();

    /**
     * Called when the upstream has started to execute the request; may be called more than once.
     */
    void onExecutionStarted();

    /** Called with a response of the upstream that is not taken for that of the request. */
    void onResponseDiscarded(DiscardedResponse discarded);

    /** Decides whether a response is forwarded to the caller. */
    boolean shouldForward(HttpResponse response, boolean signed, boolean notRun);

    /**
     * Forwards the header of the response.
     *
     * @param mayResume whether another upstream may continue the response
     */
    void forwardHead(HttpResponse response, boolean notRun, boolean mayResume);

    /** Forwards a part of the body. */
    void forwardContent(byte[] bytes);

    /** Flushes what has been forwarded. */
    void flush();

    /**
     * Called once the response has been forwarded completely.
     *
     * @param end how the end of its body was recognized
     */
    void onCompleted(StatusCode status, ResponseEnd.Complete end);

    /** Called when the attempt ended without a completely forwarded response. */
    void onFailed(Failure failure, String detail);
  }

  private final Listener listener;
  private final RequestPlan plan;
  private final RequestHead request;
  private final Upstream upstream;
  private final UpstreamState state;
  private final UpstreamConnection connection;
  private final EngineProfiles engines;
  private final UpstreamNotices notices;
  private final LongConsumer onReadWithoutQueue;
  private final TimerService timer;

  /** The load of the upstream as known when the request was placed. */
  private final UpstreamLoad load;

  private final boolean tight;
  private final int uncachedTokens;

  /** Holds back incomplete events; empty for a response that cannot be resumed. */
  private Optional<EventStreamBuffer> eventBuffer = Optional.empty();

  /**
   * The time to the first event as predicted on placement, with the upstream's speed known then.
   */
  private final double predictedMillis;

  private ResponseExpectation expectation;
  private ConnectionUse connectionUse = ConnectionUse.NONE;
  private long startedMillis;
  private long lastActivityMillis;

  /** Time at which the last part of the body arrived; 0 before the first. */
  private long lastContentMillis;

  private boolean requestSent;
  private boolean promptPending;

  /** Null before the header of the response. */
  private StatusCode status;

  private boolean notRun;
  private boolean forwarded;

  /**
   * Header and body that are buffered until the response is complete; null once they are forwarded.
   */
  private HttpResponse bufferedHead;

  private ByteArrayOutputStream bufferedBody;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param onReadWithoutQueue receives the time to the first event of a model request whose engine
   *     had no other prompt to read, in milliseconds
   */
  Attempt(
      Listener listener,
      RequestPlan plan,
      RequestHead request,
      Choice choice,
      UpstreamState state,
      UpstreamConnection connection,
      EngineProfiles engines,
      UpstreamNotices notices,
      LongConsumer onReadWithoutQueue,
      TimerService timer) {
    this.listener = listener;
    this.plan = plan;
    this.request = request;
    this.upstream = choice.upstream();
    this.uncachedTokens = choice.load().uncachedTokens(request.shape().promptTokens());
    this.state = state;
    this.connection = connection;
    this.engines = engines;
    this.notices = notices;
    this.onReadWithoutQueue = onReadWithoutQueue;
    this.timer = timer;
    this.load = choice.load();
    this.predictedMillis = choice.predictedMillis();
    this.tight = isModelRequest() && engines.isTight(plan.service(), plan.route());
  }

  /** Sends the request; the body may follow as it arrives. */
  void send(HttpRequest message, RequestBody body, ResponseExpectation expected) {
    expectation = expected;
    startedMillis = timer.nowMillis();
    lastActivityMillis = startedMillis;
    promptPending = true;
    state.requestSent(this, uncachedTokens, tight);
    connectionUse = connection.nextUse();
    connection.send(message, body, expected, this);
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns which of its connection's requests the attempt is. */
  ConnectionUse connectionUse() {
    return connectionUse;
  }

  /** Returns when the request was sent, on the monotonic clock. */
  long startedMillis() {
    return startedMillis;
  }

  /** Returns the id of the last completely forwarded event. */
  Optional<String> lastEventId() {
    return eventBuffer.flatMap(EventStreamBuffer::lastId);
  }

  /** Returns whether another upstream can go on behind what has been forwarded of the response. */
  boolean canBeResumed() {
    return eventBuffer.map(EventStreamBuffer::canBeResumed).orElse(true);
  }

  void setAutoRead(boolean reading) {
    connection.setAutoRead(reading);
  }

  /** Cancels the attempt and closes its connection. */
  void cancel() {
    connection.cancel();
    deregister();
  }

  @Override
  public void onRequestSent() {
    requestSent = true;
    lastActivityMillis = timer.nowMillis();
  }

  /**
   * Returns the current time until the request is sent: an upstream is not silent before it has the
   * whole request.
   */
  @Override
  public long lastActivityMillis() {
    return requestSent ? lastActivityMillis : timer.nowMillis();
  }

  @Override
  public long silenceTimeoutMillis() {
    return Math.max(
        MIN_SILENCE_MILLIS, SILENCE_TARGET_MULTIPLE * plan.route().targetLatencyMillis());
  }

  @Override
  public void onDiscarded(DiscardedResponse discarded) {
    listener.onResponseDiscarded(discarded);
  }

  @Override
  public void onHead(HttpResponse response, ResponseHead head) {
    lastActivityMillis = timer.nowMillis();
    status = StatusCode.of(response);
    boolean misdirected = status.equals(StatusCode.MISDIRECTED);
    notRun = head.notExecuted() || misdirected;
    if (!misdirected) {
      notices.responseReceived(upstream, head.notice(), startedMillis);
      notices.requestAnswered(upstream, head.notExecuted());
    }
    if (!notRun && !startsWithFirstEvent()) {
      markExecutionStarted();
    }
    state.recordOutcome(status.isServerError() && !notRun, lastActivityMillis);
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
      if (plan.route().resumable() && expectation.isEventStream(response)) {
        eventBuffer = Optional.of(EventStreamBuffer.resumedAfter(expectation.resumedAfter()));
      }
      listener.forwardHead(response, notRun, eventBuffer.isPresent());
    }
  }

  /**
   * Returns whether execution starts with the first event rather than the header, as for streams; a
   * server error counts as executed.
   */
  private boolean startsWithFirstEvent() {
    return plan.route().kind() == Route.Kind.STREAMING && !status.isServerError();
  }

  @Override
  public void onContent(ByteBuf bytes) {
    lastActivityMillis = timer.nowMillis();
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
      byte[] forwardable = eventBuffer.map(each -> each.append(copy)).orElse(copy);
      Optional<String> discontinuity = eventBuffer.flatMap(EventStreamBuffer::discontinuity);
      if (discontinuity.isPresent()) {
        connection.cancel();
        onFailure(FailureReason.SPOILED, discontinuity.get());
        return;
      }
      if (forwardable.length > 0) {
        listener.forwardContent(forwardable);
      }
    }
  }

  /**
   * Records the time to the first content and the gaps between parts, from which the upstream's
   * speed is estimated.
   */
  private void recordTiming() {
    if (!status.isSuccess()) {
      return;
    }
    if (lastContentMillis > 0 && isModelRequest()) {
      engines.notePause(upstream, lastActivityMillis - lastContentMillis);
    } else if (lastContentMillis == 0) {
      recordFirstContent(lastActivityMillis - startedMillis);
    }
    lastContentMillis = lastActivityMillis;
  }

  private void recordFirstContent(long millis) {
    state.answerStarted(millis, predictedMillis * load.relativeSpeed(), lastActivityMillis);
    if (isModelRequest() && load.pendingPromptTokens() == 0) {
      engines.noteRead(upstream, request.shape(), load.cachedTokens(), millis);
      onReadWithoutQueue.accept(millis);
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
    listener.forwardHead(bufferedHead, notRun, false);
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
  public void onComplete(ResponseEnd.Complete end) {
    deregister();
    if (!forwarded) {
      listener.onFailed(discardedResponseFailure(), "status " + status);
      return;
    }
    if (bufferedHead != null) {
      forwardBuffered();
    }
    byte[] remainder = eventBuffer.map(EventStreamBuffer::remainder).orElse(NOTHING);
    if (remainder.length > 0) {
      listener.forwardContent(remainder);
    }
    listener.onCompleted(status, end);
  }

  private Failure discardedResponseFailure() {
    if (notRun) {
      return Failure.NOT_RUN;
    }
    return status.isServerError() ? Failure.FAILED : Failure.SPOILED;
  }

  @Override
  public void onFailure(FailureReason reason, String detail) {
    deregister();
    if (notRun) {
      listener.onFailed(Failure.NOT_RUN, "status " + status);
      return;
    }
    state.recordOutcome(true, timer.nowMillis());
    listener.onFailed(reason == FailureReason.SPOILED ? Failure.SPOILED : Failure.LOST, detail);
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
      state.promptRead(uncachedTokens);
      listener.onUpstreamCapacity();
    }
  }
}
