package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports bytes that may start a header, before the decoder reads them. */
final class HeaderStartDetector extends ChannelInboundHandlerAdapter {
  private final Runnable onHeaderBytes;

  /**
   * Creates a detector.
   *
   * @param onHeaderBytes run for each read that contains bytes other than line ends
   */
  HeaderStartDetector(Runnable onHeaderBytes) {
    this.onHeaderBytes = onHeaderBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes && hasHeaderByte(bytes)) {
      onHeaderBytes.run();
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
