package org.limpetvale.forward.accept;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.Moment;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;

/** Handles one connection of a caller: serves one request at a time and writes its response. */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements ResponseWriter, RequestAssembler.Listener {
  private static final int MAX_QUEUED_OBJECTS = 16;

  /** Memory of queued objects from which no more is decoded. */
  private static final long MAX_QUEUED_BYTES = 32 * 1024;

  private static final long LINGER_MILLIS = 1_000;

  /** Memory that a byte of a header takes once it is decoded, if all fields are short. */
  private static final long MEMORY_PER_HEADER_BYTE = 40;

  /** Time from reading a request to its start above which this process may have been paused. */
  private static final long MAX_START_DELAY_MILLIS = 50;

  private final CallerServer server;
  private final RequestAssembler assembler;
  private final StrictRequestDecoder decoder;
  private final Deque<HttpObject> queuedObjects = new ArrayDeque<>();
  private long queuedBytes;
  private Channel channel;
  private TimerService.Subscription idleCheck = () -> {};

  /** Refuses a request whose header does not arrive completely in time. */
  private TimerService.Subscription headerTimeout = () -> {};

  private boolean headerStarted;
  private long headerStartMillis;

  /** Bytes of the header that has not ended. */
  private long headerBytes;

  /** Memory that is reserved for the header that has not ended. */
  private long headerMemoryBytes;

  private long lastActiveMillis;

  /** The body of the request being served; null if there is none. */
  private RequestBody body;

  /** The request being served; null if there is none. */
  private RequestHandler.ActiveRequest activeRequest;

  /** Whether a request has been started and its response is not complete. */
  private boolean responsePending;

  /**
   * Number of the current request on this connection; identifies a request whose scheduled start is
   * obsolete.
   */
  private long requestSequence;

  private boolean headWritten;

  /** Whether the request being read or served is a HEAD request, whose response has no content. */
  private boolean isHeadRequest;

  /** Whether only the end of the connection marks the end of the response. */
  private boolean endsWithConnection;

  private boolean keepAlive = true;

  /**
   * Whether this entry has announced that it closes the connection. A caller need not read what
   * comes after that, so later requests must not run.
   */
  private boolean closeAnnounced;

  /** Completes once all output up to the latest decision to close is written; null before any. */
  private ChannelFuture lastOutput;

  /** Whether the connection is about to close, so that further input is discarded. */
  private boolean closing;

  CallerConnection(CallerServer server) {
    this.server = server;
    this.assembler = new RequestAssembler(server, this);
    this.decoder =
        new StrictRequestDecoder(server.limits().maxHeaderBytes(), this::hasQueueCapacity);
  }

  /** Returns the decoder that precedes this handler in the pipeline. */
  StrictRequestDecoder decoder() {
    return decoder;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    lastActiveMillis = server.timer().nowMillis();
    server.connectionOpened(this);
    scheduleIdleCheck(server.limits().headerTimeoutMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.connectionClosed(this);
    idleCheck.cancel();
    headerTimeout.cancel();
    assembler.discard();
    releaseHeader();
    releaseBody();
    dropQueued(closing ? "the connection was closed before its turn" : "the caller disconnected");
    closing = true;
    if (activeRequest != null) {
      RequestHandler.ActiveRequest disconnected = activeRequest;
      activeRequest = null;
      disconnected.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (!context.channel().isWritable()) {
      return;
    }
    if (activeRequest != null) {
      activeRequest.onCallerWritable();
    } else {
      processQueued();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    assembler.onReadComplete();
    reserveForHeader();
  }

  /** Closes the connection, once all output is written, if no request is served or being read. */
  void closeIfIdle() {
    if (!responsePending && !closing && !assembler.isReading() && lastOutput == null) {
      closeAfterOutput();
    }
  }

  /** Returns whether the connection waits for its caller, so that it may be closed for room. */
  boolean waitsForCaller() {
    return !responsePending;
  }

  /** Returns whether what is read from the connection is discarded, as it is about to close. */
  boolean isClosing() {
    return closing;
  }

  /** Returns the time since the caller last sent anything or was sent a response. */
  long idleMillis() {
    return server.timer().nowMillis() - lastActiveMillis;
  }

  /** Closes the connection, whose caller keeps it waiting, to make room for others. */
  void closeForRoom() {
    closing = true;
    releaseHeader();
    channel.close();
  }

  /**
   * Returns how much memory a request that has not been read completely holds, times how long it
   * has held it, in byte milliseconds; 0 if there is none.
   */
  long unstartedLoad() {
    if (closing) {
      return 0;
    }
    long nowMillis = server.timer().nowMillis();
    return assembler.unstartedBytes() * (1 + nowMillis - assembler.arrivedMillis())
        + headerMemoryBytes * (1 + nowMillis - headerStartMillis);
  }

  /**
   * Ends the request that has not been read completely, to make room for others. One whose header
   * has not ended gets no response, as its connection keeps the header until it is closed.
   */
  void giveUpUnstarted() {
    if (headerMemoryBytes > 0) {
      closeForRoom();
    } else {
      onRefused(RequestAssembler.memoryRefusal());
    }
  }

  private void scheduleIdleCheck(long delayMillis) {
    idleCheck = server.timer().after(Math.max(1, delayMillis), this::checkIdle);
  }

  private void checkIdle() {
    if (!channel.isActive()) {
      return;
    }
    long limitMillis = server.limits().idleTimeoutMillis();
    long idleMillis = server.timer().nowMillis() - lastActiveMillis;
    boolean waitsForCaller = !responsePending || assembler.isBodyArriving() && !body.isFull();
    if (!waitsForCaller || idleMillis < limitMillis) {
      scheduleIdleCheck(waitsForCaller ? limitMillis - idleMillis : limitMillis);
      return;
    }
    if (assembler.isReading()) {
      onRefused(Refusal.of(ResultCode.BODY_TOO_SLOW, "the body stopped for " + idleMillis + " ms"));
      return;
    }
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastActiveMillis = server.timer().nowMillis();
    HttpObject object = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(object);
      return;
    }
    queuedObjects.addLast(object);
    addToQueued(queuedSize(object));
    processQueued();
  }

  private static long queuedSize(HttpObject object) {
    return switch (object) {
      case HttpRequest head -> RequestAssembler.headBytes(head);
      case HttpContent content -> content.content().readableBytes();
      default -> 0;
    };
  }

  private void addToQueued(long bytes) {
    queuedBytes += bytes;
    server.memory().reserve(bytes);
  }

  private HttpObject removeFirstQueued() {
    HttpObject object = queuedObjects.removeFirst();
    addToQueued(-queuedSize(object));
    return object;
  }

  private boolean hasQueueCapacity() {
    return !closing && queuedObjects.size() < MAX_QUEUED_OBJECTS && queuedBytes < MAX_QUEUED_BYTES;
  }

  /**
   * Accepts what has been read, in its order, up to the end of the request being served. The rest
   * waits for the end of that request's response.
   */
  private void processQueued() {
    while (canAccept() && !queuedObjects.isEmpty()) {
      accept(removeFirstQueued());
      decodeWaitingInput();
    }
    updateAutoRead();
  }

  /** Decodes input that has waited for capacity of the queue, so that the queue is filled again. */
  private void decodeWaitingInput() {
    try {
      if (decoder.resume()) {
        assembler.onReadComplete();
      }
    } catch (Exception e) {
      channel.pipeline().fireExceptionCaught(e);
    }
  }

  private void accept(HttpObject object) {
    if (object instanceof HttpRequest head) {
      isHeadRequest = head.method().equals(HttpMethod.HEAD);
    }
    assembler.accept(object);
  }

  private boolean canAccept() {
    if (closing) {
      return false;
    }
    return responsePending ? assembler.isBodyArriving() : channel.isWritable();
  }

  private void dropQueued(String cause) {
    for (HttpObject object : queuedObjects) {
      if (object instanceof HttpRequest head && object.decoderResult().isSuccess()) {
        server.requestHandler().requestDropped(head, cause);
      }
      ReferenceCountUtil.release(object);
    }
    addToQueued(-queuedBytes);
    queuedObjects.clear();
  }

  /** Reads from the caller only while the queue and the body have capacity. */
  private void updateAutoRead() {
    boolean bodyFull = assembler.isBodyArriving() && body.isFull();
    channel.config().setAutoRead(closing || hasQueueCapacity() && !bodyFull);
  }

  /** Starts the header timeout when the first bytes of a new request arrive. */
  void onHeaderBytes(int size) {
    if (responsePending || closing || assembler.isReading()) {
      return;
    }
    headerBytes += size;
    if (headerStarted) {
      return;
    }
    headerStarted = true;
    headerBytes = size;
    headerStartMillis = server.timer().nowMillis();
    headerTimeout =
        server.timer().after(server.limits().headerTimeoutMillis(), this::onHeaderTimeout);
  }

  private void onHeaderTimeout() {
    if (headerStarted && !closing) {
      onRefused(Refusal.of(ResultCode.HEADER_TOO_SLOW, "the header did not end in time"));
    }
  }

  /** Reserves memory for a header that has not ended with what was read. */
  private void reserveForHeader() {
    if (!headerStarted || closing) {
      return;
    }
    long bytes = headerBytes * MEMORY_PER_HEADER_BYTE - headerMemoryBytes;
    boolean reserved = server.reserve(bytes);
    if (reserved) {
      headerMemoryBytes += bytes;
    }
    if (closing) {
      releaseHeader();
    } else if (!reserved) {
      closeForRoom();
    }
  }

  private void releaseHeader() {
    server.memory().release(headerMemoryBytes);
    headerMemoryBytes = 0;
  }

  @Override
  public void onHeadRead(HttpRequest head) {
    headerStarted = false;
    releaseHeader();
    headerTimeout.cancel();
    keepAlive = HttpUtil.isKeepAlive(head);
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  @Override
  public void onRequestReady(IncomingRequest request) {
    responsePending = true;
    headWritten = false;
    body = request.body();
    body.onDrain(this::updateAutoRead);
    long serial = ++requestSequence;
    Moment readAt = Moment.now(server.timer());
    IncomingRequest next = closeAnnounced ? request.behindAnnouncedClose() : request;
    channel.eventLoop().execute(() -> startOrDefer(next, serial, readAt));
  }

  /**
   * Starts a request once all input that has arrived is processed. After a pause of this process,
   * the caller may have disconnected long ago, and the close follows directly after the request. If
   * the pause began after the request was read, the close is still to be read, so the start is put
   * off once behind the next reading.
   */
  private void startOrDefer(IncomingRequest request, long serial, Moment readAt) {
    if (hasPausedSince(readAt)) {
      server.timer().after(1, () -> startUnlessDisconnected(request, serial));
    } else {
      startUnlessDisconnected(request, serial);
    }
  }

  private void startUnlessDisconnected(IncomingRequest request, long serial) {
    if (!channel.isActive() || closing || !responsePending || serial != requestSequence) {
      return;
    }
    RequestHandler.ActiveRequest started = server.requestHandler().handle(request, this);
    if (responsePending && serial == requestSequence) {
      activeRequest = started;
    }
  }

  /** Returns whether this process or its VM may have been paused since a moment. */
  private boolean hasPausedSince(Moment moment) {
    Moment now = Moment.now(server.timer());
    return now.monotonicMillis() - moment.monotonicMillis() > MAX_START_DELAY_MILLIS
        || now.driftSinceMillis(moment) > MAX_START_DELAY_MILLIS;
  }

  private void releaseBody() {
    if (body != null) {
      body.close();
      body = null;
    }
  }

  @Override
  public void writeHead(HttpResponse response, boolean endsWithConnection) {
    headWritten = true;
    if (endsWithConnection) {
      this.endsWithConnection = true;
      keepAlive = false;
      Transport.resetOnClose(channel);
    }
    setCloseHeader(response);
    channel.write(response);
  }

  @Override
  public void writeContent(HttpContent content) {
    channel.write(content);
  }

  @Override
  public void flush() {
    channel.flush();
  }

  @Override
  public void finish() {
    channel.write(new DefaultLastHttpContent());
    onResponseWritten();
  }

  @Override
  public void writeFull(FullHttpResponse response) {
    headWritten = true;
    setCloseHeader(response);
    channel.write(forMethod(response));
    onResponseWritten();
  }

  /** Returns a response of this entry without its content if the request's method is HEAD. */
  private FullHttpResponse forMethod(FullHttpResponse response) {
    if (!isHeadRequest) {
      return response;
    }
    response.release();
    return response.replace(Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void abort() {
    responsePending = false;
    activeRequest = null;
    closing = true;
    if (headWritten) {
      Transport.resetOnClose(channel);
    }
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void setCloseHeader(HttpResponse response) {
    boolean lastInStop = server.isStopping() && queuedObjects.isEmpty();
    closeAnnounced |= lastInStop || assembler.isBodyArriving();
    if (closeAnnounced || !keepAlive) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void onResponseWritten() {
    boolean bodyArriving = assembler.isBodyArriving();
    responsePending = false;
    activeRequest = null;
    isHeadRequest = false;
    assembler.discard();
    releaseBody();
    lastActiveMillis = server.timer().nowMillis();
    if (endsWithConnection) {
      endOutput();
      return;
    }
    if (bodyArriving) {
      channel.flush();
      discardInputThenClose();
      return;
    }
    if (isLastResponse()) {
      closeAfterOutput();
      return;
    }
    channel.flush();
    processQueued();
    if (closeAnnounced && !responsePending && !closing) {
      closeAfterOutput();
    }
  }

  /**
   * Returns whether no response follows the one that has just been written. Each request that the
   * caller has sent ahead still gets one, unless the caller itself has announced the close.
   */
  private boolean isLastResponse() {
    if (queuedObjects.isEmpty()) {
      return !keepAlive || server.keepsNoIdleConnections();
    }
    return !keepAlive && !closeAnnounced;
  }

  /**
   * Closes the connection once its output is written. A request that is read until then is refused,
   * unless the caller itself has announced the close.
   */
  private void closeAfterOutput() {
    closing = !keepAlive && !closeAnnounced;
    closeAnnounced = true;
    lastOutput = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
    lastOutput.addListener(this::closeAfter);
  }

  /** Closes the connection unless more output, or a request, has come since the decision. */
  private void closeAfter(Future<? super Void> written) {
    if (written == lastOutput && !responsePending) {
      closing = true;
      channel.close();
    }
  }

  /**
   * Closes the connection in order once the caller can read the whole response. Until then, a close
   * resets it, so that the end of this process is not taken for the end of the response.
   */
  private void endOutput() {
    closing = true;
    updateAutoRead();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              Transport.deliverOnClose(channel);
              ((DuplexChannel) channel).shutdownOutput();
              discardInputThenClose();
            });
  }

  /**
   * Refuses a request that has not been read completely, then discards further input and closes the
   * connection.
   */
  @Override
  public void onRefused(Refusal refusal) {
    if (activeRequest != null) {
      activeRequest.onBodyFailed(refusal);
      return;
    }
    if (refusal.code() != ResultCode.MEMORY_SHORT) {
      logRefusal(refusal);
    }
    assembler.discard();
    FullHttpResponse response = ProblemResponses.of(refusal);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(forMethod(response));
    discardInputThenClose();
  }

  private void logRefusal(Refusal refusal) {
    server
        .log()
        .decision(
            "refuse",
            "",
            field("code", refusal.code().label()),
            field("detail", refusal.detail()),
            field("caller", String.valueOf(channel.remoteAddress())));
  }

  /**
   * Closes the connection after the caller has had time to read its response; discards further
   * input until then.
   */
  private void discardInputThenClose() {
    closing = true;
    updateAutoRead();
    server.timer().after(LINGER_MILLIS, () -> channel.close());
  }
}
