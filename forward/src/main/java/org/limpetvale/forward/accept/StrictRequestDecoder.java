package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * Decodes requests, no faster than they are accepted, and rejects those whose length is ambiguous.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final BooleanSupplier mayDecode;
  private ChannelHandlerContext context;

  /** Whether input is being decoded, so that what follows is decoded without {@link #resume}. */
  private boolean decoding;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes maximum size of the request line, and of the headers
   * @param mayDecode whether more input may be decoded now; the rest waits for {@link #resume}
   */
  StrictRequestDecoder(int maxHeaderBytes, BooleanSupplier mayDecode) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setChunkedSupported(true));
    this.mayDecode = Objects.requireNonNull(mayDecode, "mayDecode is null");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) throws Exception {
    boolean nested = decoding;
    decoding = true;
    try {
      super.channelRead(reading, message);
    } finally {
      decoding = nested;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext closed) throws Exception {
    decoding = true;
    super.channelInactive(closed);
  }

  @Override
  protected void decode(ChannelHandlerContext reading, ByteBuf input, List<Object> output)
      throws Exception {
    if (mayDecode.getAsBoolean()) {
      super.decode(reading, input, output);
    }
  }

  /** Decodes input that has waited, if more may be decoded now; returns whether it did. */
  boolean resume() throws Exception {
    if (decoding || actualReadableBytes() == 0 || !mayDecode.getAsBoolean()) {
      return false;
    }
    channelRead(context, Unpooled.EMPTY_BUFFER);
    return true;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Transfer-Encoding and Content-Length are given");
  }
}
