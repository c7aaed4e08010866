package org.limpetvale.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds the bytes that a peer sends without making progress: stands before the codec, which reads
 * blank lines and interim answers without end.
 *
 * <p>Once the bound is passed, the handlers behind it are told by a {@link TooLongFrameException},
 * and what comes later is dropped; they close the connection.
 */
public final class ReceiveLimit extends ChannelInboundHandlerAdapter {
  private final long mostBytes;
  private long bytes;

  private ReceiveLimit(long mostBytes) {
    this.mostBytes = mostBytes;
  }

  /**
   * Returns a limit.
   *
   * @param mostBytes bytes that may come between two steps of progress
   */
  public static ReceiveLimit of(long mostBytes) {
    return new ReceiveLimit(mostBytes);
  }

  /** Notes that the peer has made progress; it may send as much again. */
  public void recordProgress() {
    bytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    long before = bytes;
    bytes += message instanceof ByteBuf part ? part.readableBytes() : 0;
    if (bytes <= mostBytes) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (before <= mostBytes) {
      context.fireExceptionCaught(
          new TooLongFrameException("more than " + mostBytes + " bytes without progress"));
    }
  }
}
