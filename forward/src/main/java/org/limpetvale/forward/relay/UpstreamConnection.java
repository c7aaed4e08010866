package org.limpetvale.forward.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.RequestBody;
import org.limpetvale.forward.http.ReceiveLimit;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.spi.HeaderCodec;
import org.limpetvale.forward.spi.ResponseHead;

/**
 * One connection to an upstream, with at most one request in progress.
 *
 * <p>{@link CarriedRequests} decides to which request a response belongs. One more response to an
 * earlier request is discarded, and the connection is closed after the expected one; one that
 * cannot be attributed ends the request in progress, which may have run, and the connection. After
 * a response, the connection is released only if nothing was read behind it. Bytes that arrive
 * while it is idle close it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Fraction of an upstream's idle timeout within which an idle connection is reused. */
  private static final double SAFE_IDLE_SHARE = 0.7;

  /** Idle time within which a connection is reused if its upstream announces no timeout. */
  private static final long DEFAULT_SAFE_IDLE_MILLIS = 800;

  /**
   * Maximum number of interim responses, and responses to other requests, skipped before the
   * expected one.
   */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** Maximum time from the header to the end of a response to another request. */
  private static final long MAX_SKIP_MILLIS = 1_000;

  private final DuplexChannel channel;
  private final ReceiveLimit receiveLimit;
  private final UpstreamResponseDecoder decoder;
  private final HeaderCodec dialect;
  private final TimerService timer;
  private final Owner owner;

  private final CarriedRequests requests = new CarriedRequests();
  private ResponseListener listener;
  private ResponseExpectation expectation;

  /** Whether the response being read is an interim one or belongs to another request. */
  private boolean skipping;

  private int skippedResponses;

  /** Heads read since the request was sent, those of discarded responses included. */
  private int readHeads;

  private TimerService.Subscription skipTimeout = () -> {};
  private ResponseLimits limits;
  private boolean responseKeepsAlive;
  private boolean framedByLength;

  /** Whether the response is a success. */
  private boolean succeeds;

  private boolean requestWritten;

  /** Uploads the body; null if it was written with the header. */
  private BodyUpload upload;

  private boolean responseStarted;

  private long idleSinceMillis;
  private long safeIdleMillis = DEFAULT_SAFE_IDLE_MILLIS;

  /** Manages the connection between requests. */
  interface Owner {
    /** Called when the connection may serve another request. */
    void onReusable(UpstreamConnection connection);

    /** Called when the connection has been closed. */
    void onClosed(UpstreamConnection connection);
  }

  UpstreamConnection(
      DuplexChannel channel,
      ReceiveLimit received,
      UpstreamResponseDecoder decoder,
      HeaderCodec dialect,
      TimerService timer,
      Owner owner) {
    this.channel = Objects.requireNonNull(channel, "channel is null");
    this.receiveLimit = Objects.requireNonNull(received, "received is null");
    this.decoder = Objects.requireNonNull(decoder, "decoder is null");
    this.dialect = Objects.requireNonNull(dialect, "dialect is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.owner = Objects.requireNonNull(owner, "owner is null");
  }

  /**
   * Sends a request and delivers its response to a sink.
   *
   * @param request the header, with the body if that has arrived completely
   * @param body the body
   * @param expected what the request says about its response
   */
  void send(
      HttpRequest request,
      RequestBody body,
      ResponseExpectation expected,
      ResponseListener responseSink) {
    listener = responseSink;
    expectation = expected;
    requests.add(request, expected.requestId());
    decoder.expectResponse(request.method().equals(HttpMethod.HEAD));
    skipping = false;
    skippedResponses = 0;
    readHeads = 0;
    receiveLimit.recordProgress();
    responseStarted = false;
    requestWritten = false;
    boolean whole = request instanceof FullHttpRequest;
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                writeFailed(responseSink, written.cause());
              } else if (whole) {
                markRequestWritten(responseSink);
              }
            });
    if (!whole) {
      upload =
          new BodyUpload(
              channel,
              body,
              () -> markRequestWritten(responseSink),
              cause -> writeFailed(responseSink, cause));
      upload.start();
    }
  }

  private void writeFailed(ResponseListener responseSink, Throwable cause) {
    if (listener == responseSink) {
      fail(ResponseListener.FailureReason.CONNECTION_LOST, "not written: " + cause);
    }
  }

  private void markRequestWritten(ResponseListener responseSink) {
    if (listener == responseSink) {
      requestWritten = true;
      responseSink.onRequestSent();
    }
  }

  private void stopUpload() {
    if (upload != null) {
      upload.stop();
      upload = null;
    }
  }

  /** Returns whether the connection can serve a request now. */
  boolean isUsable() {
    return channel.isActive() && listener == null && idleMillis() <= safeIdleMillis;
  }

  /** Returns whether the response to a request could be told apart from all earlier ones. */
  boolean canCarry(HttpMethod method, String requestId) {
    return requests.canAdd(method, requestId);
  }

  /** Returns the place of the next request on the connection. */
  ConnectionUse nextUse() {
    int localPort = channel.localAddress() instanceof InetSocketAddress local ? local.getPort() : 0;
    return new ConnectionUse(localPort, requests.count() + 1);
  }

  /** Returns the time since the last response. */
  long idleMillis() {
    return timer.nowMillis() - idleSinceMillis;
  }

  /** Cancels the request in progress, if any, and closes the connection. */
  void cancel() {
    listener = null;
    stopUpload();
    channel.close();
  }

  /** Closes a connection that serves no request. */
  void close() {
    channel.close();
  }

  /** Resumes or pauses reading from the upstream. */
  void setAutoRead(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    HttpObject object = (HttpObject) message;
    try {
      if (listener == null) {
        channel.close();
        return;
      }
      read(object);
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void read(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail(ResponseListener.FailureReason.SPOILED, "unreadable: " + object.decoderResult().cause());
      return;
    }
    if (object instanceof HttpResponse response) {
      readHead(response);
    }
    if (object instanceof HttpContent content && listener != null) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse response) {
    if (responseStarted) {
      fail(ResponseListener.FailureReason.SPOILED, "a second answer");
      return;
    }
    readHeads++;
    ResponseHead head = dialect.decodeResponse(response.status().code(), response.headers());
    switch (requests.attribute(response, head.requestIds())) {
      case Attribution.Interim() -> skip();
      case Attribution.Earlier() -> skipEarlier(response, head);
      case Attribution.Unattributable(String cause) -> {
        reportDiscarded(response, head, cause);
        fail(ResponseListener.FailureReason.SPOILED, "unattributable response: " + cause);
      }
      case Attribution.Current(boolean identified) -> {
        if (!identified && isUnprovenRefusal(response, head)) {
          reportDiscarded(response, head, "a refusal without the request's id");
          fail(ResponseListener.FailureReason.SPOILED, "a refusal without the request's id");
        } else {
          startResponse(response, head);
        }
      }
    }
  }

  private void startResponse(HttpResponse response, ResponseHead head) {
    receiveLimit.recordProgress();
    limits = ResponseLimits.of(response, expectation.isEventStream(response));
    responseStarted = true;
    responseKeepsAlive = HttpUtil.isKeepAlive(response);
    framedByLength =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    succeeds = StatusCode.of(response).isSuccess();
    updateSafeIdle(response);
    listener.onHead(response, head);
  }

  /** Returns whether a response without an id denies the execution of a request that has one. */
  private boolean isUnprovenRefusal(HttpResponse response, ResponseHead head) {
    return !expectation.requestId().isEmpty()
        && (head.notExecuted() || StatusCode.of(response).promisesNotRun());
  }

  /** Skips one more response to an earlier request, which has to end within a time limit. */
  private void skipEarlier(HttpResponse response, ResponseHead head) {
    reportDiscarded(response, head, "one more to an earlier request");
    skip();
    if (skipping) {
      skipTimeout = timer.after(MAX_SKIP_MILLIS, this::onSkipTimeout);
    }
  }

  /** Skips a response that is not the expected one, within a limit on their number. */
  private void skip() {
    skippedResponses++;
    if (skippedResponses > MAX_SKIPPED_RESPONSES) {
      fail(
          ResponseListener.FailureReason.SPOILED,
          "more than " + MAX_SKIPPED_RESPONSES + " other answers");
      return;
    }
    skipping = true;
  }

  private void reportDiscarded(HttpResponse response, ResponseHead head, String reason) {
    listener.onDiscarded(
        new DiscardedResponse(response.status().code(), head.requestIds(), reason));
  }

  private void onSkipTimeout() {
    if (skipping && listener != null) {
      fail(ResponseListener.FailureReason.SPOILED, "the answer to another request does not end");
    }
  }

  private void updateSafeIdle(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      long millis = Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND;
      safeIdleMillis = (long) (millis * SAFE_IDLE_SHARE);
    }
  }

  private void readContent(HttpContent content) {
    if (!skipping) {
      if (content.content().isReadable()) {
        receiveLimit.recordProgress();
        Optional<String> exceeded = limits.exceededBy(content.content());
        if (exceeded.isPresent()) {
          fail(ResponseListener.FailureReason.SPOILED, exceeded.get());
          return;
        }
        listener.onContent(content.content());
      }
      if (content instanceof LastHttpContent && listener != null) {
        finishResponse();
      }
    } else if (content instanceof LastHttpContent) {
      skipping = false;
      skipTimeout.cancel();
    }
  }

  private void finishResponse() {
    switch (ResponseEnd.of(endSignal(), limits.events(), expectation.continuesStream())) {
      case ResponseEnd.Complete end -> complete(end);
      case ResponseEnd.BrokenOff(ResponseListener.FailureReason reason, String detail) ->
          fail(reason, detail);
    }
  }

  private void complete(ResponseEnd.Complete end) {
    ResponseListener done = listener;
    listener = null;
    stopUpload();
    done.onComplete(end);
  }

  /** Returns whether the request is written and nothing shows that the upstream has not got it. */
  private boolean isRequestTaken() {
    return requestWritten && !Transport.hasUndelivered(channel);
  }

  private ResponseEnd.Signal endSignal() {
    if (framedByLength) {
      return ResponseEnd.Signal.FRAMING;
    }
    if (!channel.isActive()) {
      return ResponseEnd.Signal.CONNECTION_END;
    }
    if (!channel.isInputShutdown()) {
      return ResponseEnd.Signal.FRAMING;
    }
    return succeeds && !isRequestTaken()
        ? ResponseEnd.Signal.CLOSE_WITHIN_REQUEST
        : ResponseEnd.Signal.UPSTREAM_CLOSE;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (listener != null) {
      listener.onReadComplete();
      return;
    }
    if (responseStarted && channel.isActive()) {
      release();
    }
  }

  private void release() {
    responseStarted = false;
    if (!canServeAnother()) {
      channel.close();
      return;
    }
    idleSinceMillis = timer.nowMillis();
    receiveLimit.allowNone();
    channel.config().setAutoRead(true);
    owner.onReusable(this);
  }

  private boolean canServeAnother() {
    return responseKeepsAlive
        && framedByLength
        && requestWritten
        && requests.mayCarryAnother()
        && !decoder.hasReadMoreThan(readHeads);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail(ResponseListener.FailureReason.CONNECTION_LOST, "the upstream closed the connection");
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (upload != null && channel.isWritable()) {
      upload.resume();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      fail(ResponseListener.FailureReason.SPOILED, cause.getMessage());
      return;
    }
    Transport.resetOnClose(channel);
    fail(ResponseListener.FailureReason.CONNECTION_LOST, cause.toString());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.onClosed(this);
    fail(ResponseListener.FailureReason.CONNECTION_LOST, "the connection was closed");
  }

  private void fail(ResponseListener.FailureReason reason, String detail) {
    ResponseListener failedSink = listener;
    listener = null;
    skipTimeout.cancel();
    stopUpload();
    channel.close();
    if (failedSink != null) {
      failedSink.onFailure(reason, detail);
    }
  }
}
