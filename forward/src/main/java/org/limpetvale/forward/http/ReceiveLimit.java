package org.limpetvale.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a peer may send without making progress. It precedes the HTTP codec in the
 * pipeline because the codec accepts blank lines and interim responses without limit.
 *
 * <p>When the limit is exceeded, a {@link TooLongFrameException} is fired once to the following
 * handlers, which close the connection; all later bytes are dropped.
 */
public final class ReceiveLimit extends ChannelInboundHandlerAdapter {
  private final long maxBytes;
  private long receivedBytes;

  private ReceiveLimit(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a limit.
   *
   * @param maxBytes maximum number of bytes between two calls of {@link #recordProgress}
   */
  public static ReceiveLimit of(long maxBytes) {
    return new ReceiveLimit(maxBytes);
  }

  /** Records that the peer has made progress, which resets the byte count. */
  public void recordProgress() {
    receivedBytes = 0;
  }

  /** Allows no bytes at all until {@link #recordProgress}, as while no response is expected. */
  public void allowNone() {
    receivedBytes = maxBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    long before = receivedBytes;
    receivedBytes += message instanceof ByteBuf part ? part.readableBytes() : 0;
    if (receivedBytes <= maxBytes) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (before <= maxBytes) {
      context.fireExceptionCaught(
          new TooLongFrameException("more than " + maxBytes + " bytes without progress"));
    }
  }
}
