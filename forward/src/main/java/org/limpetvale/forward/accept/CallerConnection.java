package org.limpetvale.forward.accept;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;

/** One connection of a caller: serves one request at a time and writes its answer. */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements ResponseWriter, RequestAssembler.Listener {
  private static final int MAX_QUEUED_OBJECTS = 16;
  private static final long LINGER_MILLIS = 1_000;

  private final CallerServer server;
  private final RequestAssembler assembler;
  private final Deque<HttpObject> queuedObjects = new ArrayDeque<>();
  private Channel channel;
  private TimerService.Subscription idleCheck = () -> {};

  /** Ends the wait for the rest of a header. */
  private TimerService.Subscription headerTimeout = () -> {};

  private boolean headerStarted;
  private long lastActiveMillis;

  /** Body of the request being served, or null. */
  private RequestBody body;

  /** The request being served, or null. */
  private RequestHandler.ActiveRequest activeRequest;

  /** Whether an answer is owed for a request that has begun. */
  private boolean responsePending;

  /** Number of the request on this connection; tells a request from one that it let begin. */
  private long requestSequence;

  private boolean headWritten;
  private boolean keepAlive = true;

  /** Whether the rest of what the caller sends is dropped, as the connection ends. */
  private boolean closing;

  CallerConnection(CallerServer server) {
    this.server = server;
    this.assembler = new RequestAssembler(server, this);
  }

  // -- connection

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
    releaseBody();
    queuedObjects.forEach(ReferenceCountUtil::release);
    queuedObjects.clear();
    closing = true;
    if (activeRequest != null) {
      RequestHandler.ActiveRequest gone = activeRequest;
      activeRequest = null;
      gone.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (activeRequest != null && context.channel().isWritable()) {
      activeRequest.onCallerWritable();
    }
  }

  void closeIfIdle() {
    if (!responsePending && !assembler.isReading()) {
      channel.close();
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

  // -- reading

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastActiveMillis = server.timer().nowMillis();
    HttpObject object = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(object);
      return;
    }
    if (responsePending && !assembler.isBodyArriving()) {
      queue(object);
      return;
    }
    assembler.accept(object);
  }

  private void queue(HttpObject object) {
    queuedObjects.addLast(object);
    updateAutoRead();
  }

  private void processQueued() {
    while (!responsePending && !closing && !queuedObjects.isEmpty()) {
      assembler.accept(queuedObjects.removeFirst());
    }
    updateAutoRead();
  }

  /** Reads from the caller while there is room for what comes. */
  private void updateAutoRead() {
    boolean bodyFull = assembler.isBodyArriving() && body.isFull();
    channel.config().setAutoRead(closing || queuedObjects.size() < MAX_QUEUED_OBJECTS && !bodyFull);
  }

  /** Notes bytes that are not of a request that is being read. */
  void onHeaderBytes() {
    if (headerStarted || responsePending || closing || assembler.isReading()) {
      return;
    }
    headerStarted = true;
    headerTimeout =
        server.timer().after(server.limits().headerTimeoutMillis(), this::onHeaderTimeout);
  }

  private void onHeaderTimeout() {
    if (headerStarted && !closing) {
      onRefused(Refusal.of(ResultCode.HEADER_TOO_SLOW, "the header did not end in time"));
    }
  }

  @Override
  public void onHeadRead(HttpRequest head) {
    headerStarted = false;
    headerTimeout.cancel();
    keepAlive = HttpUtil.isKeepAlive(head);
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  @Override
  public void onRequestReady(IncomingRequest input) {
    responsePending = true;
    headWritten = false;
    body = input.body();
    body.onDrain(this::updateAutoRead);
    long serial = ++requestSequence;
    channel.eventLoop().execute(() -> startUnlessDisconnected(input, serial));
  }

  /**
   * Begins a request after all that has arrived was read: after this process has stood still, its
   * caller may have left long ago, and the close comes right behind the request.
   */
  private void startUnlessDisconnected(IncomingRequest input, long serial) {
    if (!channel.isActive() || closing || !responsePending || serial != requestSequence) {
      return;
    }
    RequestHandler.ActiveRequest begun = server.requestHandler().handle(input, this);
    if (responsePending && serial == requestSequence) {
      activeRequest = begun;
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.close();
      body = null;
    }
  }

  // -- writing

  @Override
  public void writeHead(HttpResponse answer) {
    headWritten = true;
    setCloseHeader(answer);
    channel.write(answer);
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
  public void writeFull(FullHttpResponse whole) {
    headWritten = true;
    setCloseHeader(whole);
    channel.write(whole);
    onResponseWritten();
  }

  @Override
  public void abort() {
    responsePending = false;
    activeRequest = null;
    closing = true;
    if (headWritten) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void setCloseHeader(HttpResponse answer) {
    if (server.isStopping() || assembler.isBodyArriving() || !keepAlive) {
      keepAlive = false;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void onResponseWritten() {
    boolean bodyArriving = assembler.isBodyArriving();
    responsePending = false;
    activeRequest = null;
    assembler.discard();
    releaseBody();
    lastActiveMillis = server.timer().nowMillis();
    if (bodyArriving) {
      channel.flush();
      discardInputThenClose();
      return;
    }
    if (!keepAlive) {
      closing = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.flush();
    processQueued();
  }

  /** Refuses a request that was not read in full, then drops what still comes and closes. */
  @Override
  public void onRefused(Refusal refusal) {
    if (activeRequest != null) {
      activeRequest.onBodyFailed(refusal);
      return;
    }
    server
        .log()
        .decision(
            "refuse",
            "",
            field("code", refusal.code().label()),
            field("detail", refusal.detail()),
            field("caller", String.valueOf(channel.remoteAddress())));
    assembler.discard();
    FullHttpResponse answer = ProblemResponses.of(refusal);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(answer);
    discardInputThenClose();
  }

  /** Closes once the caller has had time to read its answer; what it sends is dropped. */
  private void discardInputThenClose() {
    closing = true;
    updateAutoRead();
    server.timer().after(LINGER_MILLIS, () -> channel.close());
  }
}
