package org.limpetvale.forward.accept;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;

/** One connection of a caller: reads one request at a time and writes its answer. */
final class CallerHandler extends ChannelInboundHandlerAdapter implements CallerLink {
  private static final int MOST_QUEUED_OBJECTS = 16;
  private static final long LINGER_MILLIS = 1_000;

  private final CallerServer server;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private Channel channel;
  private TimerService.Subscription idleCheck = () -> {};

  /** The request being read, or null. */
  private HttpRequest head;

  private ByteArrayOutputStream body;
  private long heldBytes;
  private long headMillis;
  private long lastActiveMillis;

  /** The request being served, or null. */
  private Exchanges.Running running;

  /** Whether an answer is owed for a request that was read. */
  private boolean answering;

  /** Number of the request on this connection; tells a request from one that it let begin. */
  private long requestSerial;

  private boolean headWritten;
  private boolean keepAlive = true;

  /** Whether the rest of what the caller sends is dropped, as the connection ends. */
  private boolean ending;

  CallerHandler(CallerServer server) {
    this.server = server;
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
    if (!answering && head == null) {
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
    if (answering || idleMillis < limitMillis) {
      scheduleIdleCheck(answering ? limitMillis : limitMillis - idleMillis);
      return;
    }
    if (head != null) {
      refuseAndEnd(Refusal.of(ResultCode.BODY_TOO_SLOW, "the body stopped for " + idleMillis));
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
    if (answering) {
      queue(object);
      return;
    }
    read(object);
  }

  private void queue(HttpObject object) {
    queued.addLast(object);
    if (queued.size() >= MOST_QUEUED_OBJECTS) {
      channel.config().setAutoRead(false);
    }
  }

  private void readQueued() {
    while (!answering && !ending && !queued.isEmpty()) {
      read(queued.removeFirst());
    }
    if (queued.size() < MOST_QUEUED_OBJECTS) {
      channel.config().setAutoRead(true);
    }
  }

  private void read(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(object);
      refuseAndEnd(malformed(object.decoderResult().cause()));
      return;
    }
    if (object instanceof HttpRequest request) {
      readHead(request);
    }
    if (object instanceof HttpContent content) {
      readContent(content);
    }
  }

  private static Refusal malformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      return Refusal.of(ResultCode.HEADER_TOO_LARGE, "the header exceeds the limit");
    }
    return Refusal.of(ResultCode.REQUEST_MALFORMED, String.valueOf(cause.getMessage()));
  }

  private void readHead(HttpRequest request) {
    Optional<Refusal> fault = HeadCheck.fault(request, server.limits());
    if (fault.isPresent()) {
      refuseAndEnd(fault.get());
      return;
    }
    head = request;
    headMillis = server.timer().nowMillis();
    body = new ByteArrayOutputStream(bodyCapacity(request));
    keepAlive = HttpUtil.isKeepAlive(request);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private static int bodyCapacity(HttpRequest request) {
    long length = HttpUtil.getContentLength(request, 0L);
    return (int) Math.min(length, 1 << 16);
  }

  private void readContent(HttpContent content) {
    ByteBuf bytes = content.content();
    try {
      if (head == null || ending) {
        return;
      }
      int size = bytes.readableBytes();
      if (body.size() + (long) size > server.limits().maxBodyBytes()) {
        refuseAndEnd(Refusal.of(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit"));
        return;
      }
      if (!server.memory().tryHold(size)) {
        refuseAndEnd(
            Refusal.of(ResultCode.MEMORY_SHORT, "too many bodies are held", LINGER_MILLIS));
        return;
      }
      heldBytes += size;
      byte[] copy = new byte[size];
      bytes.readBytes(copy);
      body.writeBytes(copy);
    } finally {
      content.release();
    }
    if (content instanceof LastHttpContent) {
      beginExchange();
    }
  }

  private void beginExchange() {
    RequestInput input = new RequestInput(head, body.toByteArray(), headMillis);
    head = null;
    body = null;
    answering = true;
    headWritten = false;
    long serial = ++requestSerial;
    Exchanges.Running begun = server.exchanges().begin(input, this);
    if (answering && serial == requestSerial) {
      running = begun;
    }
  }

  private void releaseBody() {
    server.memory().release(heldBytes);
    heldBytes = 0;
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
    if (server.stopping() || !keepAlive) {
      keepAlive = false;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void completed() {
    answering = false;
    running = null;
    releaseBody();
    lastActiveMillis = server.timer().nowMillis();
    if (!keepAlive) {
      ending = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.flush();
    readQueued();
  }

  /** Refuses a request that was not read in full, then drops what still comes and closes. */
  private void refuseAndEnd(Refusal refusal) {
    server
        .log()
        .decision(
            "refuse",
            "",
            field("code", refusal.code().label()),
            field("detail", refusal.detail()),
            field("caller", String.valueOf(channel.remoteAddress())));
    ending = true;
    head = null;
    releaseBody();
    FullHttpResponse answer = ProblemAnswers.of(refusal);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(answer);
    server.timer().after(LINGER_MILLIS, () -> channel.close());
  }
}
