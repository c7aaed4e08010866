package org.limpetvale.forward.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.limpetvale.forward.spi.ResponseHead;

/** Receives the response of one attempt, on the event loop. */
interface ResponseListener {
  /** Called once the request has been written completely. */
  void onRequestSent();

  /** Called with the header of a final response that is not taken for that of the request. */
  void onDiscarded(DiscardedResponse discarded);

  /** Called with the header of the response. */
  void onHead(HttpResponse response, ResponseHead head);

  /** Called with a part of the body; the connection keeps ownership of the buffer. */
  void onContent(ByteBuf bytes);

  /** Called once everything read so far has been delivered. */
  void onReadComplete();

  /**
   * Called once the response is complete.
   *
   * @param end how the end of its body was recognized
   */
  void onComplete(ResponseEnd.Complete end);

  /**
   * Called when the response failed and will not be completed.
   *
   * @param reason the kind of failure
   * @param detail a description for the log
   */
  void onFailure(FailureReason reason, String detail);

  /** Why a response failed. */
  enum FailureReason {
    /** The connection was closed or reset. */
    CONNECTION_LOST,
    /** The bytes received are not a valid response to the request. */
    SPOILED
  }
}
