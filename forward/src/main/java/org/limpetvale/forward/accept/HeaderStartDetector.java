package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Reports bytes that may start a header, before the decoder reads them, and discards those of a
 * connection that is about to close.
 */
final class HeaderStartDetector extends ChannelInboundHandlerAdapter {
  private final IntConsumer onHeaderBytes;
  private final BooleanSupplier discarding;

  /**
   * Creates a detector.
   *
   * @param onHeaderBytes receives the size of each read that contains bytes other than line ends
   * @param discarding whether what is read is discarded
   */
  HeaderStartDetector(IntConsumer onHeaderBytes, BooleanSupplier discarding) {
    this.onHeaderBytes = onHeaderBytes;
    this.discarding = discarding;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (discarding.getAsBoolean()) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof ByteBuf bytes && hasHeaderByte(bytes)) {
      onHeaderBytes.accept(bytes.readableBytes());
    }
    context.fireChannelRead(message);
  }

  /**
   * Returns whether there is a byte other than a line end; line ends between requests do not start
   * a header.
   */
  private static boolean hasHeaderByte(ByteBuf bytes) {
    return bytes.forEachByte(each -> each == '\r' || each == '\n') >= 0;
  }
}
