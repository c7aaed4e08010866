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
final class CallerHandler extends ChannelInboundHandlerAdapter
    implements CallerLink, RequestAssembler.Listener {
  private static final int MOST_QUEUED_OBJECTS = 16;
  private static final long LINGER_MILLIS = 1_000;

  private final CallerServer server;
  private final RequestAssembler assembler;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private Channel channel;
  private TimerService.Subscription idleCheck = () -> {};

  /** Ends the wait for the rest of a header. */
  private TimerService.Subscription headerTimeout = () -> {};

  private boolean headerBegun;
  private long lastActiveMillis;

  /** Body of the request being served, or null. */
  private RequestBody body;

  /** The request being served, or null. */
  private Exchanges.Running running;

  /** Whether an answer is owed for a request that has begun. */
  private boolean answering;

  /** Number of the request on this connection; tells a request from one that it let begin. */
  private long requestSerial;

  private boolean headWritten;
  private boolean keepAlive = true;

  /** Whether the rest of what the caller sends is dropped, as the connection ends. */
  private boolean ending;

  CallerHandler(CallerServer server) {
    this.server = server;
    this.assembler = new RequestAssembler(server, this);
  }

  // -- connection

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    lastActiveMillis = server.timer().nowMillis();
    server.opened(this);
    scheduleIdleCheck(server.limits().headerTimeoutMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.closed(this);
    idleCheck.cancel();
    headerTimeout.cancel();
    assembler.drop();
    releaseBody();
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    ending = true;
    if (running != null) {
      Exchanges.Running gone = running;
      running = null;
      gone.callerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (running != null && context.channel().isWritable()) {
      running.callerWritable();
    }
  }

  void closeIfIdle() {
    if (!answering && !assembler.isReading()) {
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
    boolean waitsForCaller = !answering || assembler.isBodyArriving() && !body.isFull();
    if (!waitsForCaller || idleMillis < limitMillis) {
      scheduleIdleCheck(waitsForCaller ? limitMillis - idleMillis : limitMillis);
      return;
    }
    if (assembler.isReading()) {
      refused(Refusal.of(ResultCode.BODY_TOO_SLOW, "the body stopped for " + idleMillis + " ms"));
      return;
    }
    channel.close();
  }

  // -- reading

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastActiveMillis = server.timer().nowMillis();
    HttpObject object = (HttpObject) message;
    if (ending) {
      ReferenceCountUtil.release(object);
      return;
    }
    if (answering && !assembler.isBodyArriving()) {
      queue(object);
      return;
    }
    assembler.take(object);
  }

  private void queue(HttpObject object) {
    queued.addLast(object);
    adjustReading();
  }

  private void readQueued() {
    while (!answering && !ending && !queued.isEmpty()) {
      assembler.take(queued.removeFirst());
    }
    adjustReading();
  }

  /** Reads from the caller while there is room for what comes. */
  private void adjustReading() {
    boolean bodyFull = assembler.isBodyArriving() && body.isFull();
    channel.config().setAutoRead(ending || queued.size() < MOST_QUEUED_OBJECTS && !bodyFull);
  }

  /** Notes bytes that are not of a request that is being read. */
  void headerBytes() {
    if (headerBegun || answering || ending || assembler.isReading()) {
      return;
    }
    headerBegun = true;
    headerTimeout =
        server.timer().after(server.limits().headerTimeoutMillis(), this::headerTooSlow);
  }

  private void headerTooSlow() {
    if (headerBegun && !ending) {
      refused(Refusal.of(ResultCode.HEADER_TOO_SLOW, "the header did not end in time"));
    }
  }

  @Override
  public void headRead(HttpRequest head) {
    headerBegun = false;
    headerTimeout.cancel();
    keepAlive = HttpUtil.isKeepAlive(head);
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  @Override
  public void begin(RequestInput input) {
    answering = true;
    headWritten = false;
    body = input.body();
    body.onRoom(this::adjustReading);
    long serial = ++requestSerial;
    channel.eventLoop().execute(() -> beginUnlessGone(input, serial));
  }

  /**
   * Begins a request after all that has arrived was read: after this process has stood still, its
   * caller may have left long ago, and the close comes right behind the request.
   */
  private void beginUnlessGone(RequestInput input, long serial) {
    if (!channel.isActive() || ending || !answering || serial != requestSerial) {
      return;
    }
    Exchanges.Running begun = server.exchanges().begin(input, this);
    if (answering && serial == requestSerial) {
      running = begun;
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
    markClose(answer);
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
    completed();
  }

  @Override
  public void answer(FullHttpResponse whole) {
    headWritten = true;
    markClose(whole);
    channel.write(whole);
    completed();
  }

  @Override
  public void abort() {
    answering = false;
    running = null;
    ending = true;
    if (headWritten) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void markClose(HttpResponse answer) {
    if (server.stopping() || assembler.isBodyArriving() || !keepAlive) {
      keepAlive = false;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void completed() {
    boolean bodyArriving = assembler.isBodyArriving();
    answering = false;
    running = null;
    assembler.drop();
    releaseBody();
    lastActiveMillis = server.timer().nowMillis();
    if (bodyArriving) {
      channel.flush();
      dropTheRest();
      return;
    }
    if (!keepAlive) {
      ending = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.flush();
    readQueued();
  }

  /** Refuses a request that was not read in full, then drops what still comes and closes. */
  @Override
  public void refused(Refusal refusal) {
    if (running != null) {
      running.bodyFailed(refusal);
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
    assembler.drop();
    FullHttpResponse answer = ProblemAnswers.of(refusal);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(answer);
    dropTheRest();
  }

  /** Closes once the caller has had time to read its answer; what it sends is dropped. */
  private void dropTheRest() {
    ending = true;
    adjustReading();
    server.timer().after(LINGER_MILLIS, () -> channel.close());
  }
}
