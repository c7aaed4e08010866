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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.Function;

/** An HTTP server for small plain-text pages, such as readiness checks. */
public final class TextServer {
  private static final int MAX_REQUEST_BYTES = 16_384;

  /**
   * A page.
   *
   * @param status HTTP status code
   * @param text body of the page
   */
  public record Page(int status, String text) {}

  private TextServer() {}

  /**
   * Starts listening.
   *
   * @param pages returns the page for a request URI
   */
  public static ChannelFuture listen(
      Transport transport, InetSocketAddress address, Function<String, Page> pages) {
    Objects.requireNonNull(pages, "pages is null");
    return transport
        .serverBootstrap()
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                    .addLast(new PageHandler(pages));
              }
            })
        .bind(address);
  }

  private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Function<String, Page> pages;

    PageHandler(Function<String, Page> pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Page page = pages.apply(request.uri());
      ByteBuf body = Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8);
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), body);
      HttpUtil.setContentLength(answer, body.readableBytes());
      boolean keep = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(answer, keep);
      ChannelFuture written = context.writeAndFlush(answer);
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
