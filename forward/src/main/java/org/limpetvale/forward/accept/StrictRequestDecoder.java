package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those whose length is ambiguous. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 65_536;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes maximum size of the request line, and of the headers
   */
  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setChunkedSupported(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Transfer-Encoding and Content-Length are given");
  }
}
