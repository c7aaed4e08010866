package org.limpetvale.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/**
 * An HTTP server for small plain-text pages, such as readiness checks.
 *
 * <p>It holds little for its clients, whatever they send: the bodies of requests are dropped, a
 * client that does not read its answers is disconnected, and of too many connections the oldest is
 * closed, so that a new client is always served.
 */
public final class TextServer {
  private static final int MAX_BODY_BYTES = 16_384;
  private static final int MAX_CONNECTIONS = 32;
  private static final int IDLE_TIMEOUT_SECONDS = 15;

  /**
   * A page.
   *
   * @param status HTTP status code
   * @param text body of the page
   */
  public record Page(int status, String text) {}

  private final Function<String, Page> pages;

  /** The open connections, the oldest first. */
  private final Set<Channel> connections = new LinkedHashSet<>();

  private TextServer(Function<String, Page> pages) {
    this.pages = Objects.requireNonNull(pages, "pages is null");
  }

  /**
   * Starts listening.
   *
   * @param pages returns the page for a request URI
   */
  public static ChannelFuture listen(
      Transport transport, InetSocketAddress address, Function<String, Page> pages) {
    TextServer server = new TextServer(pages);
    return transport
        .serverBootstrap()
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                server.add(channel);
                channel
                    .pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(server.new PageHandler());
              }
            })
        .bind(address);
  }

  private void add(Channel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      connections.iterator().next().close();
    }
    connections.add(channel);
    channel.closeFuture().addListener(closed -> connections.remove(channel));
  }

  /** Answers the requests of one connection, of which it keeps no more than the target. */
  private final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {
    private String uri = "";
    private boolean keepAlive;
    private int bodyBytes;

    /** Whether the connection is about to close, so that further input is discarded. */
    private boolean closing;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
      if (closing) {
        return;
      }
      if (object.decoderResult().isFailure()) {
        closing = true;
        context.close();
        return;
      }
      if (object instanceof HttpRequest request) {
        uri = request.uri();
        keepAlive = HttpUtil.isKeepAlive(request);
        bodyBytes = 0;
      }
      if (object instanceof HttpContent content) {
        readContent(context, content);
      }
    }

    private void readContent(ChannelHandlerContext context, HttpContent content) {
      bodyBytes += content.content().readableBytes();
      if (!context.channel().isWritable()) {
        closing = true;
        context.close();
      } else if (bodyBytes > MAX_BODY_BYTES) {
        keepAlive = false;
        answer(context, new Page(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), ""));
      } else if (content instanceof LastHttpContent) {
        answer(context, pages.apply(uri));
      }
    }

    private void answer(ChannelHandlerContext context, Page page) {
      ByteBuf body = Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8);
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), body);
      HttpUtil.setContentLength(answer, body.readableBytes());
      HttpUtil.setKeepAlive(answer, keepAlive);
      ChannelFuture written = context.writeAndFlush(answer);
      if (!keepAlive) {
        closing = true;
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
