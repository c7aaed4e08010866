package org.limpetvale.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A client of one HTTP server, with a connection for each call.
 *
 * <p>Answers carry nothing that tells to which call they belong, so an extra answer on a reused
 * connection would be taken for that of the next call. With each call, a connection is opened in
 * advance for the next one, which then does not wait for it. A connection with an abandoned call is
 * reset. All methods must only be used on the event loop.
 */
public final class HttpCaller {
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** Maximum size of a response including its header and any bytes before it. */
  private static final long MAX_RECEIVED_BYTES = MAX_RESPONSE_BYTES + 256L * 1024;

  private final Transport transport;
  private final InetSocketAddress address;

  /** The connection for the next call, until it is used or closed. */
  private Optional<Connection> spare = Optional.empty();

  private boolean openingSpare;

  private HttpCaller(Transport transport, InetSocketAddress address) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.address = Objects.requireNonNull(address, "address is null");
  }

  /** Returns a client of the server at an address. */
  public static HttpCaller of(Transport transport, InetSocketAddress address) {
    return new HttpCaller(transport, address);
  }

  /**
   * Sends a call to the server, without retries.
   *
   * @param call the call
   * @return the result; the future never completes exceptionally
   */
  public CompletableFuture<HttpResult> call(HttpCall call) {
    CompletableFuture<HttpResult> reply = new CompletableFuture<>();
    Optional<Connection> opened = spare.filter(each -> each.channel.isActive());
    spare = Optional.empty();
    opened.ifPresentOrElse(each -> each.send(call, reply), () -> connect(call, reply));
    openSpare();
    return reply;
  }

  private void connect(HttpCall call, CompletableFuture<HttpResult> reply) {
    ChannelFuture connecting = connect();
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            reply.complete(new HttpResult.NotSent("not connected: " + done.cause()));
            return;
          }
          connection(connecting).send(call, reply);
        });
  }

  /** Opens a connection for the next call. If that fails, the call opens its own. */
  private void openSpare() {
    if (openingSpare) {
      return;
    }
    openingSpare = true;
    ChannelFuture connecting = connect();
    connecting.addListener(
        done -> {
          openingSpare = false;
          if (done.isSuccess()) {
            spare = Optional.of(connection(connecting));
          }
        });
  }

  private static Connection connection(ChannelFuture connected) {
    return connected.channel().pipeline().get(Connection.class);
  }

  private ChannelFuture connect() {
    return transport
        .clientBootstrap()
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                ReceiveLimit received = ReceiveLimit.of(MAX_RECEIVED_BYTES);
                received.allowNone();
                channel
                    .pipeline()
                    .addLast(received)
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(new Connection(channel, received));
              }
            })
        .connect(address);
  }

  private FullHttpRequest request(HttpCall call) {
    ByteBuf body = Unpooled.copiedBuffer(call.body(), StandardCharsets.UTF_8);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.path(), body);
    call.headers().forEach((name, value) -> request.headers().set(name, value));
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
    if (body.isReadable()) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    HttpUtil.setContentLength(request, body.readableBytes());
    return request;
  }

  /** A connection for one call. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Channel channel;
    private final ReceiveLimit received;
    private CompletableFuture<HttpResult> reply;
    private Future<?> timeout;

    Connection(Channel channel, ReceiveLimit received) {
      this.channel = channel;
      this.received = received;
    }

    void send(HttpCall call, CompletableFuture<HttpResult> waiting) {
      reply = waiting;
      received.recordProgress();
      timeout =
          channel
              .eventLoop()
              .schedule(
                  () -> abandon("no answer in " + call.timeoutMillis() + " ms"),
                  call.timeoutMillis(),
                  TimeUnit.MILLISECONDS);
      channel.writeAndFlush(request(call));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (reply == null) {
        reset();
        return;
      }
      if (!channel.isActive()) {
        abandon("the connection ended before the answer");
        return;
      }
      if (response.decoderResult().isFailure()) {
        abandon("unreadable answer: " + response.decoderResult().cause());
        return;
      }
      String body = response.content().toString(StandardCharsets.UTF_8);
      CompletableFuture<HttpResult> waiting = finish();
      channel.close();
      waiting.complete(new HttpResult.Response(response.status().code(), headers(response), body));
    }

    private static Map<String, String> headers(FullHttpResponse response) {
      Map<String, String> headers = new HashMap<>();
      response
          .headers()
          .forEach(
              each -> headers.putIfAbsent(each.getKey().toLowerCase(Locale.ROOT), each.getValue()));
      return headers;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        channel.close();
        completeLost("the connection was closed");
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      completeLost("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      abandon(cause.toString());
    }

    private void abandon(String detail) {
      reset();
      completeLost(detail);
    }

    private void completeLost(String detail) {
      spare = spare.filter(each -> each != this);
      if (reply != null) {
        finish().complete(new HttpResult.NoResponse(detail));
      }
    }

    private CompletableFuture<HttpResult> finish() {
      CompletableFuture<HttpResult> waiting = reply;
      reply = null;
      if (timeout != null) {
        timeout.cancel(false);
        timeout = null;
      }
      return waiting;
    }

    private void reset() {
      Transport.resetOnClose(channel);
      channel.close();
    }
  }
}
