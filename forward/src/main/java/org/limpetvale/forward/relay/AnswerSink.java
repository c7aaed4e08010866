package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.limpetvale.forward.spi.ResponseHead;

/** Takes the answer of one attempt, on the event loop. */
interface AnswerSink {
  /** The request has been written in full. */
  void onRequestSent();

  /** The header of the answer. */
  void onHead(HttpResponse response, ResponseHead head);

  /** A part of the body; the bytes stay the connection's. */
  void onContent(ByteBuf bytes);

  /** All that has come so far has been handed over. */
  void onReadComplete();

  /** The answer is complete. */
  void onComplete();

  /**
   * The answer will not be completed.
   *
   * @param why what happened
   * @param detail for the log
   */
  void onFailure(Break why, String detail);

  /** Why an answer broke off. */
  enum Break {
    /** The connection ended or was reset. */
    CONNECTION_LOST,
    /** Bytes came that are not an answer to the request. */
    SPOILED
  }
}
