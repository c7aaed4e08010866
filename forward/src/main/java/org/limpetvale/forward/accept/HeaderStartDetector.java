package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notes the first byte of each header before the decoder reads it. */
final class HeaderStartDetector extends ChannelInboundHandlerAdapter {
  private final Runnable onHeaderBytes;

  /**
   * Creates a clock.
   *
   * @param onHeaderBytes is run for bytes other than line ends
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

  /** Line ends between requests begin no header. */
  private static boolean hasHeaderByte(ByteBuf bytes) {
    return bytes.forEachByte(each -> each == '\r' || each == '\n') >= 0;
  }
}
