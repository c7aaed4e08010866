package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection to an upstream, and tells whether anything was read behind
 * the last complete one.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
  private boolean answersHead;
  private int begunResponses;

  UpstreamResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Prepares for the response to the next request.
   *
   * @param head whether that is a HEAD request, whose response has no content
   */
  void expectResponse(boolean head) {
    answersHead = head;
    begunResponses = 0;
  }

  /**
   * Returns whether more was read than a number of responses.
   *
   * @param responses the number of responses, interim ones included, that were delivered since the
   *     last call of {@link #expectResponse}
   */
  boolean hasReadMoreThan(int responses) {
    return begunResponses > responses || actualReadableBytes() > 0;
  }

  /**
   * {@inheritDoc}
   *
   * @throws IllegalArgumentException if the status does not exist, which makes the response
   *     unreadable
   */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    begunResponses++;
    StatusCode.decode(initialLine[1]);
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return answersHead || super.isContentAlwaysEmpty(message);
  }
}
